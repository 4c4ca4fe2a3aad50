import {Buffer} from 'node:buffer';
import {type StoredResponse} from '@valehitch/control';
import {sha256} from '../../digest.js';
import {type AnswerHead} from '../attempt-output.js';

/** The parts of an answer to store with a claim. */
export type KeptAnswerParts = {
	readonly head: AnswerHead;
	readonly payloads: ReadonlyArray<string | Uint8Array>;
	/** The maximum size of a stored body, in bytes. */
	readonly maximumBytes: number;
};

/**
Creates the answer that is stored with a claim for replay.

@param parts The parts of the answer.
@returns The answer with its digest, and with its body if it is not too large.
@example
```ts
toKeptAnswer({head, payloads: [payload], maximumBytes: 16_384}).digest;
```
*/
export function toKeptAnswer({head, payloads, maximumBytes}: KeptAnswerParts): StoredResponse {
	const body = Buffer.concat(payloads.map(payload => Buffer.from(payload)));
	return {
		status: head.status,
		headers: head.headers,
		digest: sha256(body),
		bytes: body.byteLength,
		...(body.byteLength <= maximumBytes && {body}),
	};
}
