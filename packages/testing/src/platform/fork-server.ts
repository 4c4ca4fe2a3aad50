import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';

/** Options of {@linkcode forkServer}. */
export type ForkServerOptions = {
	/** The only argument of the program. */
	readonly argument: string;
	/** What becomes of the error output of the process. */
	readonly errorOutput: 'inherit' | 'ignore';
};

/** A server in a process of its own. */
export type ForkedServer = {
	readonly child: ChildProcess;
	/** The port on which it listens. */
	readonly port: number;
};

/**
Starts a server in a process of its own with an IPC channel, and waits until it has told its port.

@param program The program of the server.
@param options Its argument and its error output.
@returns The process and its port.
@example
```ts
const {child, port} = await forkServer(new URL('raw-server-process.js', import.meta.url), {argument: 'i-1', errorOutput: 'inherit'});
```
*/
export async function forkServer(program: URL, {argument, errorOutput}: ForkServerOptions): Promise<ForkedServer> {
	const child = fork(program, [argument], {stdio: ['ignore', 'ignore', errorOutput, 'ipc']});
	const [{port}] = await once(child, 'message') as [{readonly port: number}];
	return {child, port};
}
