/** Carries a failure of the data folder up to its door. */
export class StorageError extends Error {
	override readonly name = 'StorageError';
	/** Which file and offset it is about, where it is about one. */
	readonly place: {readonly file: string; readonly offset: number} | undefined;

	constructor(message: string, place?: {readonly file: string; readonly offset: number}) {
		super(place === undefined ? message : `${message}, in ${place.file} at byte ${place.offset}`);
		this.place = place;
	}
}
