import {errorAnswers} from '@valehitch/core';

/** The line of docs/API.md after which the table begins. */
export const errorTableStart = '<!-- The table of errors, made by npm run docs:errors -->';
/** The line of docs/API.md before which the table ends. */
export const errorTableEnd = '<!-- End of the table of errors -->';

/**
The table of error kinds and their answers, in Markdown, from the one in code.

@returns The table, one kind a row, by status.
@example
```ts
const table = errorTable();
```
*/
export function errorTable(): string {
	const rows = Object.entries(errorAnswers)
		.toSorted(([, left], [, right]) => left.status - right.status)
		.map(([kind, {status, outcome, title}]) => `| ${status} | \`${kind}\` | \`${outcome}\` | ${title} |`);
	return ['| status | kind | outcome | meaning |', '|---|---|---|---|', ...rows].join('\n');
}

/**
Puts the table into a page, between its two marks.

@param page The page.
@returns The page with the table of the code.
@throws {RangeError} Where a mark is missing.
@example
```ts
const page = withErrorTable(await readFile('docs/API.md', 'utf8'));
```
*/
export function withErrorTable(page: string): string {
	const start = page.indexOf(errorTableStart);
	const end = page.indexOf(errorTableEnd);
	if (start === -1 || end < start) {
		throw new RangeError('Got a page without the marks of the table of errors, wanted both');
	}

	return `${page.slice(0, start)}${errorTableStart}\n\n${errorTable()}\n\n${page.slice(end)}`;
}
