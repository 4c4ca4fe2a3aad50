import {type RequestId} from '@valehitch/core';

/** The stored response to a request with an idempotency key. */
export type StoredResponse = {
	/** The HTTP status code. */
	readonly status: number;
	/** The headers to replay, such as `content-type`. */
	readonly headers: Readonly<Record<string, string>>;
	/** The SHA-256 digest of the whole body in hexadecimal. */
	readonly digest: string;
	/** The size of the whole body in bytes. */
	readonly bytes: number;
	/** The whole body. Absent if it is larger than `ControlLimits.keptAnswerBytes` or was dropped to stay within `ControlLimits.keptAnswerBytesPerWorkspace`. */
	readonly body?: Uint8Array;
};

/**
The status of a claim.

- `taken`: the calling request owns the claim and may run.
- `in-progress`: another request owns the claim.
- `done`: the owner ran and got a response.
- `unknown`: the owner may have run and must never be retried.
- `released`: the owner provably did not run.
- `key-reused`: the key was already used with a different request digest.
- `expired`: the claim does not exist or is no longer kept.
*/
export type ClaimOutcome
	= | {readonly type: 'taken'; readonly request: RequestId}
		| {readonly type: 'in-progress'; readonly request: RequestId}
		| {readonly type: 'done'; readonly request: RequestId; readonly answer: StoredResponse}
		| {readonly type: 'unknown'; readonly request: RequestId}
		| {readonly type: 'released'; readonly request: RequestId}
		| {readonly type: 'key-reused'; readonly request: RequestId}
		| {readonly type: 'expired'};

/** How the owner settles its claim. */
export type ClaimSettlement
	= | {readonly type: 'done'; readonly answer: StoredResponse}
	/** The request provably did not run, so the next one may take the claim. */
		| {readonly type: 'released'}
		| {readonly type: 'unknown'};
