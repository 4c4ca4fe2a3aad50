import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {readBody} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';

/**
Reads the body of a caller's request; one whose head says that it is too large is refused unread.

@param request The request.
@param maximumBytes The most bytes that are taken.
@returns The bytes, or `too-large` or `malformed-request`.
@example
```ts
const body = await readCallerBody(request, settings.limits.bodyBytes);
```
*/
export async function readCallerBody(request: IncomingMessage, maximumBytes: number): Promise<Either<Failure, Uint8Array>> {
	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > maximumBytes) {
		request.resume();
		return Left(failure('too-large', `Got a body of ${announced} bytes, wanted at most ${maximumBytes}`));
	}

	return readBody(request, maximumBytes);
}
