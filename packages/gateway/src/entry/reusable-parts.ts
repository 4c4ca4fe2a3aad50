import {type PromptPart} from './gateway-request.js';

/** The maximum number of parts of one prompt that are considered. */
const maximumParts = 8;
/** The maximum length of the id of a part that is considered. */
const maximumIdCharacters = 64;

/**
Returns the ids of the parts of a prompt that prompts of other callers and sessions can have too: all but the last one. Parts with very long ids, and those beyond the first eight, are left out, so that a caller cannot fill logs and memory with them.

@param parts The parts of the prompt, in order.
@returns The ids, in order, each once.
@example
```ts
reusableParts([{id: '5c', tokens: 800}, {id: 'e4', tokens: 250}]); // ['5c']
```
*/
export function reusableParts(parts: readonly PromptPart[]): readonly string[] {
	const ids = parts.slice(0, -1).map(({id}) => id).filter(id => id.length > 0 && id.length <= maximumIdCharacters);
	return [...new Set(ids)].slice(0, maximumParts);
}
