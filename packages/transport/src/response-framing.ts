import {type IncomingMessage} from 'node:http';
import {allowsResponseBody} from './allows-response-body.js';

/** How the end of a response body is found: there is no body, its length was announced, it is sent in chunks, or it ends when its connection is closed. */
export type ResponseFraming = 'none' | 'length' | 'chunks' | 'close';

/**
Returns how the body of a response is framed (RFC 9112, section 6.3).

@param message The response.
@param method The method of its request.
@returns The framing.
@example
```ts
responseFraming(message, 'GET'); // 'close' without a Content-Length and chunks
```
*/
export function responseFraming({statusCode = 0, headers}: Pick<IncomingMessage, 'statusCode' | 'headers'>, method: string): ResponseFraming {
	if (!allowsResponseBody(statusCode, method)) {
		return 'none';
	}

	const transferEncoding = headers['transfer-encoding'];
	if (transferEncoding !== undefined) {
		const lastCoding = transferEncoding.split(',').at(-1)?.trim().toLowerCase();
		return lastCoding === 'chunked' ? 'chunks' : 'close';
	}

	return headers['content-length'] === undefined ? 'close' : 'length';
}
