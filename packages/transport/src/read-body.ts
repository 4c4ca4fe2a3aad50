import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/**
Reads the body of a request or answer, up to a limit.

@param message The message.
@param maximumBytes The most bytes that are taken.
@returns The bytes; `too-large` when there are more; `malformed-request` when the message ended early.
@example
```ts
const body = await readBody(request, 4_194_304);
```
*/
export async function readBody(message: IncomingMessage, maximumBytes: number): Promise<Either<Failure, Uint8Array>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		// The connection stays open after a body that is too large, so that the answer can still be sent.
		for await (const chunk of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += chunk.byteLength;
			if (size > maximumBytes) {
				message.resume();
				return Left(failure('too-large', `Got a body of more than ${maximumBytes} bytes`));
			}

			chunks.push(chunk);
		}
	} catch {
		return Left(failure('malformed-request', 'Got a body that ended early'));
	}

	return message.complete
		? Right(Buffer.concat(chunks))
		: Left(failure('malformed-request', 'Got a body that ended early'));
}
