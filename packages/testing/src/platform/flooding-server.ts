import {type ChildProcess} from 'node:child_process';
import {forkServer} from './fork-server.js';

/** What a server sends without end. */
export type Flood = 'body' | 'rejection' | 'comments' | 'interim answers' | 'answers';

/** Options of {@linkcode FloodingServer}. */
export type FloodingServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly flood: Flood;
	/** The address of the control instance to which it announces itself. */
	readonly control: string;
};

const program = new URL('flooding-server-process.js', import.meta.url);

/**
A backend server in a process of its own that answers each request with bytes without end, and announces itself.

@example
```ts
const server = await FloodingServer.start({id: 'i-1', service: 'labels', flood: 'body', control});
```
*/
export class FloodingServer {
	/**
	Starts the process of a server and waits until it listens.

	@param options The server's identity and its answers.
	@returns The running server.
	*/
	static async start(options: FloodingServerOptions): Promise<FloodingServer> {
		const {child} = await forkServer(program, {argument: JSON.stringify(options), errorOutput: 'inherit'});
		return new FloodingServer(child);
	}

	readonly #child: ChildProcess;

	private constructor(child: ChildProcess) {
		this.#child = child;
	}

	/** Ends the process of the server. */
	stop(): void {
		this.#child.kill('SIGKILL');
	}
}
