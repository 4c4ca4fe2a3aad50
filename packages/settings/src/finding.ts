/** The steps from the root of a document to a field: keys of mappings and indexes of lists. */
export type FieldPath = ReadonlyArray<string | number>;

/** Something wrong at a field of a document, before its line is known. */
export type Finding = {
	readonly path: FieldPath;
	/** What the document has there. */
	readonly got: string;
	/** What belongs there. */
	readonly wanted: string;
	/** Whether the key itself is wrong, and not its value; false by default. */
	readonly atKey?: boolean | undefined;
};
