import {type IncomingMessage} from 'node:http';

/** What a server may send beside a body, such as chunk extensions, in bytes. */
const freeBytes = 1024 * 1024;
/** What it may send for each byte of the body, so that chunks of one byte are possible. */
const maximumFactor = 8;

/**
Limits the bytes of its connection that the body of a response may take, since a server may send sizes and extensions of chunks that add nothing to the body. The connection is closed beyond 1 MiB and eight times the longest body.

@param message The response, whose body has not been read.
@param maximumBytes The maximum size of the body in bytes.
@example
```ts
limitReceived(message, 4_194_304);
for await (const bytes of message) { ... }
```
*/
export function limitReceived(message: IncomingMessage, maximumBytes: number): void {
	if (message.complete) {
		return;
	}

	const {socket} = message;
	const limit = freeBytes + (maximumFactor * maximumBytes);
	let received = 0;
	const count = (chunk: Uint8Array): void => {
		received += chunk.byteLength;
		if (received > limit) {
			message.destroy();
		}
	};

	socket.on('data', count);
	message.on('close', () => {
		socket.off('data', count);
	});
}
