import {type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';

/** Options of {@linkcode closeIdleAfterPoll}. */
export type CloseIdleAfterPollOptions = {
	/** Called when a connection is closed for idleness; by default, nothing is called. */
	readonly onClose?: (() => void) | undefined;
};

/** How long a connection is read on after it was closed for sending, in milliseconds. */
const lingerMilliseconds = 1000;

/**
Closes the idle connections of a server after pending input was read, by the `keepAliveTimeout` that the server has when the time is over, or the one that their last answers have announced if that is longer.

Without it, a connection is closed although its next request has arrived if the process was held up, one that is idle already keeps the timeout that was set when it became idle, and one whose timeout is lowered during an answer is closed before the time that the head of that answer announced. A connection is closed for sending first and read on for a second: a request that crosses the close is seen, and does not reset the connection of its caller.

@param server The server.
@param options What is called.
@example
```ts
const server = createServer({keepAliveTimeout: 30_000}, handle);
closeIdleAfterPoll(server);
```
*/
export function closeIdleAfterPoll(server: Server, {onClose}: CloseIdleAfterPollOptions = {}): void {
	const announced = new WeakMap<Socket, number>();
	// An answer announces the timeout that the server had when its request arrived.
	server.prependListener('request', ({socket}: IncomingMessage) => {
		announced.set(socket, server.keepAliveTimeout);
	});
	// The server leaves a connection whose timeout has a listener to that listener.
	server.on('timeout', (socket: Socket) => {
		const {bytesRead} = socket;
		setImmediate(() => {
			if (socket.bytesRead > bytesRead || !socket.writable) {
				return;
			}

			const keptFor = Math.max(server.keepAliveTimeout, announced.get(socket) ?? 0);
			if (socket.timeout !== undefined && socket.timeout < keptFor) {
				socket.setTimeout(keptFor);
				return;
			}

			onClose?.();
			closeLingering(socket);
		});
	});
}

function closeLingering(socket: Socket): void {
	socket.end();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMilliseconds);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
