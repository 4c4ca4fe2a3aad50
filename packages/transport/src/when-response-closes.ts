import {type ServerResponse} from 'node:http';

/**
Calls back once a response was sent or its connection has closed. A response that waits behind another one on its connection emits no `close` event when the connection closes.

@param response The response.
@param callback The function to call, once; at once if the response is closed already.
@example
```ts
whenResponseCloses(response, () => responses.delete(response));
```
*/
export function whenResponseCloses(response: ServerResponse, callback: () => void): void {
	const {socket} = response.req;
	if (response.closed || socket.closed) {
		callback();
		return;
	}

	const onClose = (): void => {
		response.off('close', onClose);
		socket.off('close', onClose);
		callback();
	};

	response.on('close', onClose);
	socket.on('close', onClose);
}
