import {type IncomingMessage} from 'node:http';
import {sha256} from './digest.js';

const bearerPattern = /^Bearer (?<key>\S{1,512})$/v;

/**
Computes the digest of the bearer key of a request.

@param request The request.
@returns The SHA-256 digest in hexadecimal, or undefined if the request has no bearer key.
@example
```ts
if (digests.has(bearerDigest(request) ?? '')) { ... }
```
*/
export function bearerDigest(request: IncomingMessage): string | undefined {
	const key = bearerPattern.exec(request.headers.authorization ?? '')?.groups?.key;
	return key === undefined ? undefined : sha256(key);
}
