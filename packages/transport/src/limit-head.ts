import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** How many bytes may precede the body of an answer, in bytes: several interim answers, a head, and what is read together with it. */
const maximumBytes = 256 * 1024;

/**
Limits what is read for the head of the answer to a request, with the interim answers before it. The HTTP client limits each head, but not their number. The request fails if the head has not ended within 256 KiB.

@param request The request, before it has a connection.
@example
```ts
const request = openRequest({host, port, method, path, headers});
limitHead(request);
```
*/
export function limitHead(request: ClientRequest): void {
	request.once('socket', (socket: Socket) => {
		let bytes = 0;
		const count = (chunk: Uint8Array): void => {
			bytes += chunk.byteLength;
			if (bytes > maximumBytes) {
				stop();
				request.destroy(new Error(`The head of the answer did not end within ${maximumBytes} bytes`));
			}
		};

		const stop = (): void => {
			socket.off('data', count);
		};

		socket.prependListener('data', count);
		// A kept connection outlives the request.
		request.once('response', stop);
	});
}
