import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/**
Sends a request once its connection is open and the poll in which it opened has ended, unless the request was destroyed by then. On a kept connection, it is sent at once.

After the process was blocked or suspended, the end of a caller's connection may be read after the opening of another connection, in the same poll.

@param request The request, of which nothing has been sent.
@param body Its body.
@example
```ts
const request = openRequest({host, port, method, path, headers});
sendOnceOpen(request, body);
```
*/
export function sendOnceOpen(request: ClientRequest, body: Uint8Array): void {
	const send = (): void => {
		setImmediate(() => {
			if (!request.destroyed) {
				request.end(body);
			}
		});
	};

	request.once('socket', (socket: Socket) => {
		if (request.reusedSocket) {
			request.end(body);
		} else if (socket.connecting) {
			socket.once('connect', send);
		} else {
			send();
		}
	});
}
