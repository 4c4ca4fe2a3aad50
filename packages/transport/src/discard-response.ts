import {type IncomingMessage} from 'node:http';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** The longest body that is read to keep its connection, in bytes; a new connection costs less than reading a longer one. */
const maximumBytes = 64 * 1024;
/** The time within which the body must end, in milliseconds. */
const discardMilliseconds = 1000;

/**
Throws the body of a response away, so that its connection can be used again. The connection is closed if the body is longer than 64 KiB or does not end within a second.

@param message The response, whose body is not read otherwise.
@example
```ts
if (response.status !== 200) {
	discardResponse(response.message);
}
```
*/
export function discardResponse(message: IncomingMessage): void {
	let bytes = 0;
	const stopTimeout = setTimeoutAfterPoll(discardMilliseconds, () => {
		message.destroy();
	});
	message.on('close', stopTimeout);
	message.on('data', (chunk: Uint8Array) => {
		bytes += chunk.byteLength;
		if (bytes > maximumBytes) {
			message.destroy();
		}
	});
}
