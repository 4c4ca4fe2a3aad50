import {type ClientRequest} from 'node:http';

/** Options of {@linkcode cancelRequest}. */
export type CancelRequestOptions = {
	/** Whether the head of an answer has arrived; the connection is then closed without a reset. By default none has. */
	readonly hasAnswer?: boolean;
};

/**
Cancels a request, and resets its connection if there is no answer yet, so that bytes that the kernel still holds are not delivered.

Closing a connection without a reset delivers them, and a server that reads late receives the whole request. A connection that has received nothing, or that has been kept for other requests, is not reset.

@param request The request.
@param options Whether it has an answer.
@example
```ts
signal.addEventListener('abort', () => cancelRequest(request));
```
*/
export function cancelRequest(request: ClientRequest, {hasAnswer = false}: CancelRequestOptions = {}): void {
	const {socket} = request;
	// A connection that is being opened would be reset only once it is open, and one whose end is being sent cannot be reset.
	if (!hasAnswer && !request.destroyed && request.headersSent && socket !== null && !socket.connecting && !socket.destroyed && !socket.writableEnded) {
		socket.resetAndDestroy();
	}

	request.destroy();
}
