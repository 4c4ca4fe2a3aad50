/** An error in a data folder; the exported functions convert it to a `Failure`. */
export class StorageError extends Error {
	override readonly name = 'StorageError';
	/** The file and byte offset of the error; undefined if it does not concern one file. */
	readonly location: {readonly file: string; readonly offset: number} | undefined;

	constructor(message: string, location?: {readonly file: string; readonly offset: number}) {
		super(location === undefined ? message : `${message}, in ${location.file} at byte ${location.offset}`);
		this.location = location;
	}
}
