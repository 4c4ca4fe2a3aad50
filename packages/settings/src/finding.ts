/** The path from the root of a document to a field: mapping keys and list indexes. */
export type FieldPath = ReadonlyArray<string | number>;

/** A problem at a field of a document whose line is not yet known. */
export type Finding = {
	readonly path: FieldPath;
	/** A description of the value found. */
	readonly got: string;
	/** A description of the expected value. */
	readonly wanted: string;
	/** Whether the problem is the key rather than its value; false by default. */
	readonly concernsKey?: boolean | undefined;
};
