import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {hasTransferCoding} from './has-transfer-coding.js';

/** Options of {@linkcode readBody}. */
export type ReadBodyOptions = {
	/** Returns why no more bytes may be kept; called before each part of the body is kept, with its size. By default, all are kept. */
	readonly refuse?: (bytes: number) => Failure | undefined;
};

/** The length at which a coding is cut in a message. */
const maximumLoggedCharacters = 32;

/**
Reads the body of an HTTP request or response, up to a size limit.

@param message The request or response.
@param maximumBytes The maximum size of the body in bytes.
@param options Whether parts of it may be kept.
@returns The body; a `too-large` failure if it exceeds the limit; the given failure if a part may not be kept; a `malformed-request` failure if the message is truncated, or is in a transfer coding other than chunks.
@example
```ts
const body = await readBody(request, 4_194_304);
```
*/
export async function readBody(message: IncomingMessage, maximumBytes: number, {refuse}: ReadBodyOptions = {}): Promise<Either<Failure, Uint8Array>> {
	if (hasTransferCoding(message.headers)) {
		message.resume();
		return Left(failure('malformed-request', `Invalid Transfer-Encoding header: expected chunked, got ${message.headers['transfer-encoding']?.slice(0, maximumLoggedCharacters)}`));
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		// Keep the connection open if the body is too large, so that the response can still be sent.
		for await (const chunk of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += chunk.byteLength;
			if (size > maximumBytes) {
				message.resume();
				return Left(failure('too-large', `The body exceeds ${maximumBytes} bytes`));
			}

			const refused = refuse?.(chunk.byteLength);
			if (refused !== undefined) {
				message.resume();
				return Left(refused);
			}

			chunks.push(chunk);
		}
	} catch {
		return Left(failure('malformed-request', 'The body ended prematurely'));
	}

	return message.complete
		? Right(Buffer.concat(chunks))
		: Left(failure('malformed-request', 'The body ended prematurely'));
}
