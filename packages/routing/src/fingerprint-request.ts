import {createHash} from 'node:crypto';
import {type RequestFingerprint, toId, type WorkspaceId} from '@valehitch/core';

/** The properties that identify a request across retries and instances. */
export type FingerprintedRequest = {
	/** The workspace of the caller; undefined on routes that need no API key. */
	readonly workspace: WorkspaceId | undefined;
	readonly method: string;
	readonly host: string;
	/** The path and query. */
	readonly target: string;
	readonly body: Uint8Array;
};

/** 128 bits, so that two requests with the same fingerprint cannot be constructed in practice. */
const fingerprintCharacters = 32;

/**
Computes a fingerprint of a request from its content, so that it is recognized under another request id and at another instance.

A caller's retries have different request ids. The fingerprint is a truncated SHA-256 hash: it does not reveal the body in logs and messages, but it confirms a guess of the body.

@param request The request.
@returns The fingerprint, as 32 hexadecimal digits.
@example
```ts
fingerprintRequest({workspace, method: 'POST', host: 'desk.example', target: '/drafts/7', body});
```
*/
export function fingerprintRequest({workspace, method, host, target, body}: FingerprintedRequest): RequestFingerprint {
	const hash = createHash('sha256');
	// JSON delimits the head unambiguously, so the start of a body cannot be mistaken for a part of the head.
	hash.update(JSON.stringify([workspace ?? null, method, host, target]));
	hash.update(body);
	return toId<RequestFingerprint>(hash.digest('hex').slice(0, fingerprintCharacters));
}
