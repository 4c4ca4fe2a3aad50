import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {type HeldBytes, type HeldMemory} from '@valehitch/routing';
import {readBody} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import {retryMilliseconds} from './retry-milliseconds.js';

/** Options of {@linkcode readCallerBody}. */
export type ReadCallerBodyOptions = {
	readonly memory: Pick<HeldMemory, 'held' | 'room'>;
	/** The bytes that are held for the request; the body is added. */
	readonly held: HeldBytes;
	/** The maximum size of a body, in bytes. */
	readonly maximumBytes: number;
};

/**
Reads the body of a request, unless the instance cannot hold it in addition to what it holds already.

@param message The request.
@param options The memory, and the limit of a body.
@returns The body; an `overloaded` failure if it does not fit, at once if its length is known; otherwise the failures of `readBody`.
@example
```ts
const body = await readCallerBody(message, {memory, held, maximumBytes: 4_194_304});
```
*/
export async function readCallerBody(message: IncomingMessage, {memory, held, maximumBytes}: ReadCallerBodyOptions): Promise<Either<Failure, Uint8Array>> {
	const refuse = (bytes: number): Failure | undefined => {
		const {room, held: total} = memory;
		return bytes <= room
			? undefined
			: failure('overloaded', `${bytes} more bytes do not fit into the ${room} bytes that this instance may hold beside the ${total} it holds`, {retryAfterMilliseconds: retryMilliseconds});
	};

	const length = Number(message.headers['content-length'] ?? 0);
	const refused = length <= maximumBytes ? refuse(length) : undefined;
	if (refused !== undefined) {
		message.resume();
		return Left(refused);
	}

	return readBody(message, maximumBytes, {
		refuse(bytes) {
			const failed = refuse(bytes);
			held.add(failed === undefined ? bytes : 0);
			return failed;
		},
	});
}
