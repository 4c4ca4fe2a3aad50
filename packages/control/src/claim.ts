import {type RequestId} from '@valehitch/core';

/** The answer of a keyed request, as the claim keeps it. */
export type KeptAnswer = {
	/** The HTTP status code. */
	readonly status: number;
	/** Headers to send again, such as `content-type`. */
	readonly headers: Readonly<Record<string, string>>;
	/** SHA-256 of the whole body in hexadecimal. */
	readonly digest: string;
	/** Bytes of the whole body. */
	readonly bytes: number;
	/** The whole body; absent where it is larger than `ControlLimits.keptAnswerBytes`, or was dropped to make room. */
	readonly body?: Uint8Array;
};

/**
Where a claim stands.

`taken`: the asking request owns it and may run. `in-progress`: another request owns it. `done`: the owner ran and was answered. `unknown`: the owner may have run; it must never be tried again. `released`: the owner provably did not run. `key-reused`: the key came with another request digest. `expired`: there is no such claim, or no longer.
*/
export type ClaimOutcome
	= | {readonly type: 'taken'; readonly request: RequestId}
		| {readonly type: 'in-progress'; readonly request: RequestId}
		| {readonly type: 'done'; readonly request: RequestId; readonly answer: KeptAnswer}
		| {readonly type: 'unknown'; readonly request: RequestId}
		| {readonly type: 'released'; readonly request: RequestId}
		| {readonly type: 'key-reused'; readonly request: RequestId}
		| {readonly type: 'expired'};

/** How the owner settles its claim. */
export type ClaimSettlement
	= | {readonly type: 'done'; readonly answer: KeptAnswer}
	/** The request provably did not run; the next one may take the claim. */
		| {readonly type: 'released'}
		| {readonly type: 'unknown'};
