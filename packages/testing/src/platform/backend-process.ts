import {type ChildProcess} from 'node:child_process';
import {type ExecutedRequest, type FakeBackendResponse, type FakeBackendServerOptions} from './fake-backend-server.js';
import {type ForkedServer, forkServer} from './fork-server.js';

/** A backend server that answers all requests in the same way. */
export type BackendProcessOptions = Pick<FakeBackendServerOptions, 'id' | 'service' | 'zone'> & {
	readonly answer: FakeBackendResponse;
	/** The address of the control instance to which it announces itself. */
	readonly control: string;
};

/** A request that the server of a process executed. */
export type ProcessRun = Pick<ExecutedRequest, 'id' | 'path'>;

/** What the process of a server tells. */
export type BackendProcessMessage
	= | {readonly type: 'listening'; readonly port: number}
		| {readonly type: 'runs'; readonly query: number; readonly runs: readonly ProcessRun[]};

/** Asks the process of a server for the requests that it has executed. */
export type BackendProcessQuery = {readonly query: number};

const program = new URL('backend-server-process.js', import.meta.url);

/**
A backend server in a process of its own, which announces itself, so that it answers while the process of the test does not get its turn.

@example
```ts
const server = await BackendProcess.start({id: 'i-1', service: 'labels', answer: {events: ['printed']}, control});
```
*/
export class BackendProcess {
	/**
	Starts the process of a server and waits until it listens.

	@param options The server's identity and answer.
	@returns The running server.
	*/
	static async start(options: BackendProcessOptions): Promise<BackendProcess> {
		return new BackendProcess(options.service, await forkServer(program, {argument: JSON.stringify(options), errorOutput: 'inherit'}));
	}

	readonly service: string;
	readonly port: number;
	readonly #child: ChildProcess;
	readonly #queries = new Map<number, (runs: readonly ProcessRun[]) => void>();
	#lastQuery = 0;

	private constructor(service: string, {child, port}: ForkedServer) {
		this.service = service;
		this.port = port;
		this.#child = child;
		child.on('message', message => {
			this.#handle(message as BackendProcessMessage);
		});
	}

	/** Returns the requests that the server has executed so far. */
	async readRuns(): Promise<readonly ProcessRun[]> {
		this.#lastQuery++;
		const query = this.#lastQuery;
		return new Promise((resolve, reject) => {
			this.#queries.set(query, resolve);
			const message: BackendProcessQuery = {query};
			this.#child.send(message, error => {
				if (error !== null) {
					reject(error);
				}
			});
		});
	}

	/** Ends the process of the server. */
	stop(): void {
		this.#child.kill('SIGKILL');
	}

	#handle(message: BackendProcessMessage): void {
		if (message.type === 'runs') {
			this.#queries.get(message.query)?.(message.runs);
			this.#queries.delete(message.query);
		}
	}
}
