import {type FieldPath} from './finding.js';

const plainKey = /^[\w\-]+$/v;

/**
Formats the path of a field as a string.

@param path The path from the root.
@returns The formatted path. Keys with characters other than letters, digits, dash and underscore are quoted.
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
