import {type ChildProcess} from 'node:child_process';
import {sendForStatus} from './fake-backend-server.js';
import {type ForkedServer, forkServer} from './fork-server.js';

/** How a server ends after an answer: its process goes on and closes the connection (`close`), exits, fails with an error, or is ended by a signal. */
export type RawEnd = 'close' | 'exit' | 'error' | 'SIGKILL' | 'SIGTERM';

/** The bytes of an answer, and how the server ends after them; by default it goes on, and keeps the connection. */
export type RawAnswer = {readonly text: string; readonly end?: RawEnd | undefined};

/** A request that a server received. */
export type RawRun = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Whether an earlier request came on the same connection. */
	readonly isKept: boolean;
};

/** What the process of a server tells. */
export type RawServerMessage
	= | {readonly type: 'listening'; readonly port: number}
		| ({readonly type: 'run'; readonly request: number} & RawRun);

/** Options of {@linkcode RawServer}. */
export type RawServerOptions = {
	readonly id: string;
	readonly service: string;
	/** Returns the answer to a request. */
	readonly answer: (run: RawRun) => RawAnswer;
	/** Called with the port of the server when its process has ended by itself. */
	readonly onEnd: (port: number) => void;
};

const program = new URL('raw-server-process.js', import.meta.url);
const announceTimeoutMilliseconds = 1000;

/**
A backend server in a process of its own that sends any bytes, and can end in the middle of them.

@example
```ts
const server = await RawServer.start({id: 'i-1', service: 'labels', answer: () => ({text: 'HTTP/1.1 200', end: 'SIGKILL'}), onEnd});
```
*/
export class RawServer {
	/**
	Starts the process of a server and waits until it listens.

	@param options The server's identity and answers.
	@returns The running server.
	*/
	static async start(options: RawServerOptions): Promise<RawServer> {
		return new RawServer(options, await forkServer(program, {argument: options.id, errorOutput: 'ignore'}));
	}

	readonly port: number;
	readonly #options: RawServerOptions;
	readonly #child: ChildProcess;
	#isStopped = false;
	#sequence = 0;

	private constructor(options: RawServerOptions, {child, port}: ForkedServer) {
		this.#options = options;
		this.#child = child;
		this.port = port;
		child.on('message', message => {
			this.#handle(message as RawServerMessage);
		});
		child.once('exit', () => {
			if (!this.#isStopped) {
				options.onEnd(port);
			}
		});
	}

	/**
	Announces the server to a control instance, unless its process has ended.

	@param control The address of the control instance.
	*/
	async announce(control: string): Promise<void> {
		if (!this.#child.connected) {
			return;
		}

		const {id, service} = this.#options;
		this.#sequence++;
		await sendForStatus({
			method: 'PUT', address: control, path: `/-/instances/${id}`, body: {
				service, address: `127.0.0.1:${this.port}`, zone: 'hall-a', version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, seq: this.#sequence,
			}, timeout: announceTimeoutMilliseconds,
		});
	}

	/** Ends the process of the server. */
	stop(): void {
		this.#isStopped = true;
		this.#child.kill('SIGKILL');
	}

	#handle(message: RawServerMessage): void {
		if (message.type === 'run') {
			const {type: _type, request, ...run} = message;
			this.#child.send({request, ...this.#options.answer(run)});
		}
	}
}
