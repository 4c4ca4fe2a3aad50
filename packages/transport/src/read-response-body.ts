import {type Failure, failure} from '@valehitch/core';
import {type Either, Left} from 'purify-ts';
import {limitReceived} from './limit-received.js';
import {readBody} from './read-body.js';
import {type HttpResponse} from './send-http-request.js';

/**
Reads the body of a response, up to a size limit. The connection of one that is longer or malformed is closed.

@param response The response.
@param maximumBytes The maximum size of the body in bytes.
@returns The complete body; a `too-large` failure if it exceeds the limit; a `malformed-request` failure if it is truncated.
@example
```ts
const body = await readResponseBody(response, 4_194_304);
```
*/
export async function readResponseBody({message, isComplete}: Pick<HttpResponse, 'message' | 'isComplete'>, maximumBytes: number): Promise<Either<Failure, Uint8Array>> {
	limitReceived(message, maximumBytes);
	const body = await readBody(message, maximumBytes);
	if (body.isLeft()) {
		message.destroy();
		return body;
	}

	if (await isComplete()) {
		return body;
	}

	return Left(failure('malformed-request', 'The body ended prematurely'));
}
