import {type TextPart} from './diff-text.js';

/**
Builds the text that {@linkcode diffText} has described.

@param base The text that was given to it as the base.
@param parts The parts.
@returns The text; undefined if a part lies outside the base.
@example
```ts
joinTextParts('{"a":1}{"b":2}', ['{"c":3}', [7, 7]]); // '{"c":3}{"b":2}'
```
*/
export function joinTextParts(base: string, parts: readonly TextPart[]): string | undefined {
	let text = '';
	for (const part of parts) {
		if (typeof part === 'string') {
			text += part;
			continue;
		}

		const [offset, length] = part;
		if (offset < 0 || length < 0 || offset + length > base.length) {
			return undefined;
		}

		text += base.slice(offset, offset + length);
	}

	return text;
}
