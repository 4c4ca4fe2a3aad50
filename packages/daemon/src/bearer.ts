import {type IncomingMessage} from 'node:http';
import {sha256} from './digest.js';

const bearerPattern = /^Bearer (?<key>\S{1,512})$/v;

/**
The digest of the key that a request carries.

@param request The request.
@returns The SHA-256 digest, or undefined where the request carries no bearer key.
@example
```ts
if (digests.has(bearerDigest(request) ?? '')) { ... }
```
*/
export function bearerDigest(request: IncomingMessage): string | undefined {
	const key = bearerPattern.exec(request.headers.authorization ?? '')?.groups?.key;
	return key === undefined ? undefined : sha256(key);
}
