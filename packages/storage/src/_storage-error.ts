/** Carries a failure of the data folder up to its door. */
export class StorageError extends Error {
	override readonly name = 'StorageError';
	/** Which file and offset it is about, where it is about one. */
	readonly location: {readonly file: string; readonly offset: number} | undefined;

	constructor(message: string, location?: {readonly file: string; readonly offset: number}) {
		super(location === undefined ? message : `${message}, in ${location.file} at byte ${location.offset}`);
		this.location = location;
	}
}
