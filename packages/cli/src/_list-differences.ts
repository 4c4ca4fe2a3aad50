/** One place where two documents differ. */
export type Difference = {
	/** The path, with dots between its parts. */
	readonly path: string;
	/** What is there now; undefined for nothing. */
	readonly before: unknown;
	/** What would be there; undefined for nothing. */
	readonly after: unknown;
};

/** Lists where two documents of plain values differ member by member; lists are compared as a whole. */
export function listDifferences({before, after}: {readonly before: unknown; readonly after: unknown}, path = ''): readonly Difference[] {
	if (!isRecord(before) || !isRecord(after)) {
		return JSON.stringify(before) === JSON.stringify(after) ? [] : [{path, before, after}];
	}

	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted((left, right) => left.localeCompare(right));
	return names.flatMap(name => listDifferences({before: before[name], after: after[name]}, path === '' ? name : `${path}.${name}`));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
