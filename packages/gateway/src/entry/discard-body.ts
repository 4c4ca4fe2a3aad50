import {type IncomingMessage} from 'node:http';
import {type ResponseFraming, setTimeoutAfterPoll} from '@valehitch/transport';

/** The most that is read to keep the connection, in bytes; a new connection costs less than more. */
const maximumDiscardedBytes = 4096;
/** The time in which such a body has to arrive, in milliseconds. */
const discardMilliseconds = 1000;

/**
Discards the body of a backend server's answer. The connection is kept if the body is short, and closed otherwise, at once where its length says so: a server may send without end.

@param message The answer, of whose body nothing has been read.
@param framing How the end of the body is found.
@example
```ts
discardBody(message, framing);
```
*/
export function discardBody(message: IncomingMessage, framing: ResponseFraming): void {
	if (framing === 'close' || (framing === 'length' && Number(message.headers['content-length']) > maximumDiscardedBytes)) {
		message.destroy();
		return;
	}

	const {socket} = message;
	const bytesBefore = socket.bytesRead;
	let bodyBytes = 0;
	// The size and the extensions of a chunk are no part of the body.
	const check = (): void => {
		if (Math.max(bodyBytes, socket.bytesRead - bytesBefore) > maximumDiscardedBytes) {
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
