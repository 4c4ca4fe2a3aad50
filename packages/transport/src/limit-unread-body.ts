import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** Options of {@linkcode limitUnreadBody}. */
export type LimitUnreadBodyOptions = {
	/** How many bytes are read and thrown away; 16 MiB by default, more than a caller's body may have. */
	readonly maximumBytes?: number;
	/** How long they are read, in milliseconds; 10 s by default. */
	readonly within?: number;
};

const defaultMaximumBytes = 16 * 1024 * 1024;
const defaultMilliseconds = 10_000;
/** How often the limit of the bytes is checked, in milliseconds. */
const checkMilliseconds = 20;
/** The time that the caller has to read the answer once the connection is closed for sending, in milliseconds. */
const lingerMilliseconds = 1000;

/**
Limits what is read of a request after it has been answered, as one that was refused. The rest of its body is read and thrown away, so that the caller can read the answer and use the connection again; if it does not end within the limits, the connection is closed.

@param response The response to a request that has just arrived.
@param options The limits.
@example
```ts
createServer((request, response) => {
	limitUnreadBody(response);
	void handle(request, response);
});
```
*/
export function limitUnreadBody(response: ServerResponse, {maximumBytes = defaultMaximumBytes, within = defaultMilliseconds}: LimitUnreadBodyOptions = {}): void {
	response.once('finish', () => {
		const {req: message} = response;
		const {socket} = message;
		if (message.complete || !socket.writable) {
			return;
		}

		const {bytesRead} = socket;
		const stop = (): void => {
			stopTimeout();
			clearInterval(interval);
			socket.off('close', stop);
		};

		const close = (): void => {
			stop();
			if (!message.complete) {
				closeUnread(message);
			}
		};

		// A listener for data would take the connection from the parser, which then no longer resumes it.
		const interval = setInterval(() => {
			if (message.complete) {
				stop();
			} else if (socket.bytesRead - bytesRead > maximumBytes) {
				close();
			}
		}, checkMilliseconds);
		const stopTimeout = setTimeoutAfterPoll(within, close);
		socket.on('close', stop);
		// A reader that gave up may have left the body paused.
		message.resume();
	});
}

/** Ends a connection without reading on. A reset before the caller has read the answer would discard it. */
function closeUnread(message: IncomingMessage): void {
	const {socket} = message;
	message.pause();
	socket.pause();
	socket.end();
	const stopTimeout = setTimeoutAfterPoll(lingerMilliseconds, () => {
		socket.destroy();
	});
	socket.once('close', stopTimeout);
}
