import {
	type Failure, failure, type ServerId, toId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** Longer than any id of the platform's servers; bounds what a call without sense can make this process remember. */
const maximumLength = 256;

/**
Reads the id of a backend server from the path of a call.

@param text The part of the path.
@returns The id, or `malformed-request` where it is empty or too long.
@example
```ts
decodeServerId('i-7f3a91c2');
```
*/
export function decodeServerId(text: string): Either<Failure, ServerId> {
	if (text === '' || text.length > maximumLength) {
		return Left(failure('malformed-request', `Got an id of ${text.length} characters in the path, wanted 1 to ${maximumLength}`));
	}

	return Right(toId<ServerId>(text));
}
