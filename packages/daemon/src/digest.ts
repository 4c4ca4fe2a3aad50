import {createHash} from 'node:crypto';

/**
The SHA-256 digest of a text.

@param text The text.
@returns 64 hexadecimal digits.
@example
```ts
sha256('yard-key');
```
*/
export function sha256(text: string | Uint8Array): string {
	return createHash('sha256').update(text).digest('hex');
}
