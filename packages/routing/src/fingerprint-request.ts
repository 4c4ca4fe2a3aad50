import {createHash} from 'node:crypto';
import {type RequestFingerprint, toId, type WorkspaceId} from '@valehitch/core';

/** What makes two arrivals the same request, whichever instance they come to. */
export type FingerprintedRequest = {
	/** The workspace that asks; undefined on routes that need no key. */
	readonly workspace: WorkspaceId | undefined;
	readonly method: string;
	readonly host: string;
	/** The path with the query. */
	readonly target: string;
	readonly body: Uint8Array;
};

/** 128 bits: two requests with one fingerprint cannot be found on purpose. */
const fingerprintCharacters = 32;

/**
Names a request by what its caller asks, so that it is known again under another request id and at another instance.

A caller's further tries have ids of their own. The name is a hash (SHA-256), which tells nothing of the body in logs and messages, but confirms a body that somebody guesses.

@param request What the caller asks.
@returns The name.
@example
```ts
fingerprintRequest({workspace, method: 'POST', host: 'desk.example', target: '/drafts/7', body});
```
*/
export function fingerprintRequest({workspace, method, host, target, body}: FingerprintedRequest): RequestFingerprint {
	const hash = createHash('sha256');
	// The head ends where its JSON ends, so that no body continues another request's head.
	hash.update(JSON.stringify([workspace ?? null, method, host, target]));
	hash.update(body);
	return toId<RequestFingerprint>(hash.digest('hex').slice(0, fingerprintCharacters));
}
