import {Buffer} from 'node:buffer';
import {type KeptAnswer} from '@valehitch/control';
import {sha256} from '../../digest.js';
import {type AnswerHead} from '../attempt-output.js';

/** The answer that a claim keeps. */
export type KeptAnswerParts = {
	readonly head: AnswerHead;
	readonly payloads: ReadonlyArray<string | Uint8Array>;
	/** The largest body that is kept, in bytes. */
	readonly maximumBytes: number;
};

/**
Makes the answer that a claim keeps for a replay.

@param parts The answer.
@returns The answer with its digest, and its body where it is small enough.
@example
```ts
toKeptAnswer({head, payloads: [payload], maximumBytes: 16_384}).digest;
```
*/
export function toKeptAnswer({head, payloads, maximumBytes}: KeptAnswerParts): KeptAnswer {
	const body = Buffer.concat(payloads.map(payload => Buffer.from(payload)));
	return {
		status: head.status,
		headers: head.headers,
		digest: sha256(body),
		bytes: body.byteLength,
		...(body.byteLength <= maximumBytes && {body}),
	};
}
