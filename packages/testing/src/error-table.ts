import {errorResponses} from '@valehitch/core';

/** The marker line in docs/API.md before the table. */
export const errorTableStart = '<!-- The table of errors, made by npm run docs:errors -->';
/** The marker line in docs/API.md after the table. */
export const errorTableEnd = '<!-- End of the table of errors -->';

/**
Formats the error kinds and their responses, as defined in code, as a Markdown table.

@returns The table with one row per kind, sorted by status.
@example
```ts
const table = formatErrorTable();
```
*/
export function formatErrorTable(): string {
	const rows = Object.entries(errorResponses)
		.toSorted(([, left], [, right]) => left.status - right.status)
		.map(([kind, {status, outcome, title}]) => `| ${status} | \`${kind}\` | \`${outcome}\` | ${title} |`);
	return ['| status | kind | outcome | meaning |', '|---|---|---|---|', ...rows].join('\n');
}

/**
Replaces the table between the two markers of a page.

@param page The Markdown text of the page.
@returns The page with the current table.
@throws {RangeError} If a marker is missing.
@example
```ts
const page = replaceErrorTable(await readFile('docs/API.md', 'utf8'));
```
*/
export function replaceErrorTable(page: string): string {
	const start = page.indexOf(errorTableStart);
	const end = page.indexOf(errorTableEnd);
	if (start === -1 || end < start) {
		throw new RangeError('The page lacks the start or end marker of the error table');
	}

	return `${page.slice(0, start)}${errorTableStart}\n\n${formatErrorTable()}\n\n${page.slice(end)}`;
}
