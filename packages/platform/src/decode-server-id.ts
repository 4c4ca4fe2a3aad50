import {
	type Failure, failure, type ServerId, toId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** Longer than any server id of the platform. It limits the memory that invalid requests can occupy. */
const maximumLength = 256;

/**
Decodes the id of a backend server from the path of a request.

@param text The path segment.
@returns The id, or `malformed-request` if it is empty or too long.
@example
```ts
decodeServerId('i-7f3a91c2');
```
*/
export function decodeServerId(text: string): Either<Failure, ServerId> {
	if (text === '' || text.length > maximumLength) {
		return Left(failure('malformed-request', `The server id in the path has ${text.length} characters; expected 1 to ${maximumLength}`));
	}

	return Right(toId<ServerId>(text));
}
