import {once} from 'node:events';
import {
	createServer, type RequestListener, type Server, type ServerOptions,
} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {UnfinishedResponses} from './unfinished-responses.js';

/** Options of {@linkcode connectCaller}. */
export type ConnectCallerOptions = {
	/** Whether the caller keeps its side of the connection open when the server ends its own; it does not by default. */
	readonly allowHalfOpen?: boolean;
};

/**
Lets a server listen, and opens a connection to it; both are closed when the test has ended.

@param t The test.
@param server The server.
@param options The connection.
@returns The side of the caller.
*/
export async function connectCaller(t: {readonly teardown: (end: () => void) => void}, server: Server, {allowHalfOpen = false}: ConnectCallerOptions = {}): Promise<Socket> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen});
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	return caller;
}

/** Creates a server, and the responses of it that are in progress. */
export function createTrackedServer(handle: RequestListener, options: ServerOptions = {}): {readonly server: Server; readonly unfinished: UnfinishedResponses} {
	const unfinished = new UnfinishedResponses();
	const server = createServer(options, (message, response) => {
		unfinished.add(response);
		handle(message, response);
	});
	return {server, unfinished};
}
