import {type IncomingMessage, type Server} from 'node:http';
import {type Duplex} from 'node:stream';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {type UnfinishedResponses} from './unfinished-responses.js';

/** Options of {@linkcode refuseTunnels}. */
export type RefuseTunnelsOptions = {
	/** The responses of the server that are in progress, each added when its request arrives. */
	readonly unfinished: Pick<UnfinishedResponses, 'whenAnswered'>;
	/** Called when a request for a tunnel has arrived; by default, nothing is called. */
	readonly onRefuse?: ((message: IncomingMessage) => void) | undefined;
};

/** How much of what follows a request for a tunnel is read and thrown away, in bytes; then the connection is no longer read. */
const maximumDiscardedBytes = 1024 * 1024;
/** The time that the caller has to read the answer once the connection is closed for sending, in milliseconds. */
const lingerMilliseconds = 1000;

/**
Refuses requests with the method CONNECT, once those before them on their connections are answered. What follows such a request is thrown away up to 1 MiB, and not read beyond it. The server otherwise closes the connection of such a request at once, without an answer to any request on it.

@param server The server, which has not accepted connections yet.
@param options The responses, and what is called.
@example
```ts
refuseTunnels(server, {unfinished});
```
*/
export function refuseTunnels(server: Server, {unfinished, onRefuse}: RefuseTunnelsOptions): void {
	server.on('connect', (message: IncomingMessage, socket: Duplex, rest: Uint8Array) => {
		onRefuse?.(message);
		// The server no longer handles the connection.
		socket.on('error', () => {
			// The connection is closed after it.
		});
		discard(socket, rest.byteLength);
		void refuse(socket, unfinished);
	});
}

/** Throws away what arrives, so that the end of the connection is seen. */
function discard(socket: Duplex, alreadyBytes: number): void {
	let discardedBytes = alreadyBytes;
	socket.on('data', (chunk: Uint8Array) => {
		discardedBytes += chunk.byteLength;
		// An earlier request whose body is read may resume the connection.
		if (discardedBytes >= maximumDiscardedBytes) {
			socket.pause();
		}
	});
}

async function refuse(socket: Duplex, unfinished: RefuseTunnelsOptions['unfinished']): Promise<void> {
	await unfinished.whenAnswered(socket);
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	socket.end('HTTP/1.1 501 Not Implemented\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
	const stopTimeout = setTimeoutAfterPoll(lingerMilliseconds, () => {
		socket.destroy();
	});
	socket.once('close', stopTimeout);
}
