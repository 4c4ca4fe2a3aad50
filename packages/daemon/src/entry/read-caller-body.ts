import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {readBody} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';

/**
Reads the body of a caller's request. A body whose `Content-Length` exceeds the limit is refused without reading it.

@param request The request.
@param maximumBytes The maximum size of the body.
@returns The body, or a `too-large` or `malformed-request` failure.
@example
```ts
const body = await readCallerBody(request, settings.limits.bodyBytes);
```
*/
export async function readCallerBody(request: IncomingMessage, maximumBytes: number): Promise<Either<Failure, Uint8Array>> {
	const contentLength = Number(request.headers['content-length'] ?? 0);
	if (contentLength > maximumBytes) {
		request.resume();
		return Left(failure('too-large', `Request body of ${contentLength} bytes exceeds the limit of ${maximumBytes} bytes`));
	}

	return readBody(request, maximumBytes);
}
