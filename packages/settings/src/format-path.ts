import {type FieldPath} from './finding.js';

const plainKey = /^[\w\-]+$/v;

/**
Writes the path of a field as text.

@param path The steps from the root.
@returns The text; a key with a dot or another sign in it is quoted.
@example
```ts
formatPath(['models', 'tag-small', 'versions', '1.1', 'stages', 0]); // 'models.tag-small.versions["1.1"].stages[0]'
```
*/
export function formatPath(path: FieldPath): string {
	let text = '';
	for (const step of path) {
		text += formatStep(step, text === '');
	}

	return text;
}

function formatStep(step: string | number, isFirst: boolean): string {
	if (typeof step === 'number') {
		return `[${step}]`;
	}

	if (!plainKey.test(step)) {
		return `[${JSON.stringify(step)}]`;
	}

	return isFirst ? step : `.${step}`;
}
