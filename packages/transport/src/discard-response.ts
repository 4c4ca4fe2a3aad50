import {type IncomingMessage} from 'node:http';
import {type ResponseFraming} from './response-framing.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** Options of {@linkcode discardResponse}. */
export type DiscardResponseOptions = {
	/** How the end of the body is found; by default unknown, so that the body is read up to the limits. */
	readonly framing?: ResponseFraming;
};

/** The most that is read to keep the connection, in bytes; a new connection costs less than more. */
const maximumBytes = 4096;
/** The time within which the body must end, in milliseconds. */
const discardMilliseconds = 1000;

/**
Discards the body of a response. The connection is kept if the body is at most 4 KiB long and ends within a second, and closed otherwise, at once where its length says so: a server may send without end.

@param message The response, of whose body nothing has been read.
@param options How the body ends.
@example
```ts
if (response.status !== 200) {
	discardResponse(response.message);
}
```
*/
export function discardResponse(message: IncomingMessage, {framing}: DiscardResponseOptions = {}): void {
	if (framing === 'close' || Number(message.headers['content-length'] ?? 0) > maximumBytes) {
		message.destroy();
		return;
	}

	const {socket} = message;
	const bytesBefore = socket.bytesRead;
	let bodyBytes = 0;
	// The size and the extensions of a chunk are no part of the body.
	const check = (): void => {
		if (Math.max(bodyBytes, socket.bytesRead - bytesBefore) > maximumBytes) {
			message.destroy();
		}
	};

	const stopTimeout = setTimeoutAfterPoll(discardMilliseconds, () => {
		message.destroy();
	});
	socket.on('data', check);
	message.on('close', () => {
		stopTimeout();
		socket.off('data', check);
	});
	message.on('data', (chunk: Uint8Array) => {
		bodyBytes += chunk.byteLength;
		check();
	});
}
