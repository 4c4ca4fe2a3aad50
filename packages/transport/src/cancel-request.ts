import {type ClientRequest} from 'node:http';

/**
Cancels a request and resets its connection, so that bytes that the kernel still holds are not delivered.

Closing a connection without a reset delivers them, and a server that reads late receives the whole request. A connection that has received nothing, or that has been kept for other requests, is not reset.

@param request The request.
@example
```ts
signal.addEventListener('abort', () => cancelRequest(request));
```
*/
export function cancelRequest(request: ClientRequest): void {
	const {socket} = request;
	// A connection that is being opened would be reset only once it is open, and one whose end is being sent cannot be reset.
	if (!request.destroyed && request.headersSent && socket !== null && !socket.connecting && !socket.destroyed && !socket.writableEnded) {
		socket.resetAndDestroy();
	}

	request.destroy();
}
