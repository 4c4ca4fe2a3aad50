import {type ServerResponse} from 'node:http';

/**
Breaks off a response in such a way that the caller cannot take it for a complete one.

A body in chunks is incomplete without the last chunk. A body that ends with its connection, as for a caller of HTTP/1.0, is incomplete only if the connection is reset.

@param response The response.
@example
```ts
abortResponse(response);
```
*/
export function abortResponse(response: ServerResponse): void {
	if (response.headersSent && !response.writableFinished && !response.chunkedEncoding) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
}
