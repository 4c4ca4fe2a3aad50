/** A problem in a document and its position. */
export type DocumentProblem = {
	/** The file name passed by the caller. */
	readonly file: string;
	/** The path of the field, such as `listen.callers.port`; empty if the problem concerns the whole document. */
	readonly path: string;
	/** The 1-based line number. */
	readonly line: number;
	/** The 1-based column number. */
	readonly column: number;
	/** A description of the value found; secrets are described only by their length. */
	readonly got: string;
	/** A description of the expected value. */
	readonly wanted: string;
};

/**
Formats a problem as a single line that starts with `file:line:column`, so that editors can jump to it.

@param problem The problem.
@returns The line, without a line terminator.
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
