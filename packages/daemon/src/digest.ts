import {createHash} from 'node:crypto';

/**
Computes a SHA-256 digest.

@param text The text, which is encoded as UTF-8, or the bytes to hash.
@returns The digest as 64 hexadecimal digits.
@example
```ts
sha256('yard-key');
```
*/
export function sha256(text: string | Uint8Array): string {
	return createHash('sha256').update(text).digest('hex');
}
