import {type PromptPartFingerprint, type SuspectFingerprint, toId} from '@valehitch/core';

const prefix = 'part-';

/**
Returns the fingerprint under which a part of prompts is tracked, whatever request contains it.

@param part The id of the part.
@returns The fingerprint.
@example
```ts
promptPartFingerprint('5c1e07a2'); // 'part-5c1e07a2'
```
*/
export function promptPartFingerprint(part: string): PromptPartFingerprint {
	return toId<PromptPartFingerprint>(`${prefix}${part}`);
}

/**
Checks whether a fingerprint is that of a part of prompts; that of a request is a hash without a prefix.

@param fingerprint The fingerprint.
@returns Whether it is that of a part.
@example
```ts
isPromptPart(promptPartFingerprint('5c1e07a2')); // true
```
*/
export function isPromptPart(fingerprint: SuspectFingerprint): fingerprint is PromptPartFingerprint {
	return fingerprint.startsWith(prefix);
}
