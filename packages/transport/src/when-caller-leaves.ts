import {type ServerResponse} from 'node:http';

/**
Calls back when the caller of a response has ended its connection, before the response is closed. Once the response was sent completely, nothing is called.

A response closes some turns of the event loop after the end of its connection was read, and one that waits behind another one on its connection doesn't close at all.

@param response The response.
@param callback The function to call, once; at once if the caller has left already.
@returns A function that stops watching.
@example
```ts
const stop = whenCallerLeaves(response, () => attempt.cancel());
```
*/
export function whenCallerLeaves(response: ServerResponse, callback: () => void): () => void {
	const {socket} = response.req;
	const stop = (): void => {
		response.off('close', onEnd);
		socket.off('end', onEnd);
		socket.off('close', onEnd);
	};

	const onEnd = (): void => {
		stop();
		if (!response.writableFinished) {
			callback();
		}
	};

	if (response.closed || socket.destroyed || socket.readableEnded) {
		onEnd();
		return stop;
	}

	response.on('close', onEnd);
	socket.on('end', onEnd);
	socket.on('close', onEnd);
	return stop;
}
