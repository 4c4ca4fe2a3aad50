/** One difference between two documents. */
export type Difference = {
	/** The path of the value, separated by dots. */
	readonly path: string;
	/** The value in the first document; undefined if absent. */
	readonly before: unknown;
	/** The value in the second document; undefined if absent. */
	readonly after: unknown;
};

/** Compares two JSON documents recursively, member by member; arrays are compared as a whole. */
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
