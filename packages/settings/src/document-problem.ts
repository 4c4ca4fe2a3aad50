/** One thing that is wrong in a document, and where. */
export type DocumentProblem = {
	/** The file as it was named by the caller. */
	readonly file: string;
	/** The field, such as `listen.callers.port`; empty for the document as a whole. */
	readonly path: string;
	/** The line, from 1. */
	readonly line: number;
	/** The column, from 1. */
	readonly column: number;
	/** What the document has there; a secret is named by its length only. */
	readonly got: string;
	/** What belongs there. */
	readonly wanted: string;
};

/**
Writes a problem on one line, in the form that editors can jump to.

@param problem The problem.
@returns The line, without an end of line.
@example
```ts
formatProblem(problem); // 'entry.yaml:7:35 listen.callers.port: got "x", wanted a whole number from 0 to 65535'
```
*/
export function formatProblem(problem: DocumentProblem): string {
	const {file, path, line, column, got, wanted} = problem;
	const field = path === '' ? '' : ` ${path}:`;
	return `${file}:${line}:${column}${field === '' ? ':' : field} got ${got}, wanted ${wanted}`;
}
