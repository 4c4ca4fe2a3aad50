import {
	type HardState, type LogEntry, type PersistAction, type Snapshot,
} from '@valehitch/consensus';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type LoadedFolder} from './_load-folder.js';
import {type Place} from './_place.js';
import {SegmentWriter} from './_segment-writer.js';
import {removeSnapshotsBefore, writeSnapshot} from './_snapshot-file.js';
import {StorageError} from './_storage-error.js';
import {type Unlock} from './lock-folder.js';
import {type StoredState} from './stored-state.js';

/** What an open data folder is made of. */
export type DataFolderParts = {
	readonly place: Place;
	readonly segmentBytes: number;
	readonly identity: string;
	readonly isNew: boolean;
	readonly loaded: LoadedFolder;
	readonly unlock: Unlock;
};

/** How much was written since the folder was opened. */
export type WrittenCounts = {
	/** Syncs of batches. */
	readonly batches: number;
	/** Bytes of log segments. */
	readonly segmentBytes: number;
};

/**
An open data folder: what `persist` reported as done is on the disk.

@example
```ts
const folder = (await openDataFolder('data/entry-1')).unsafeCoerce();
const {identity, entries} = folder.takeStored();
await folder.persist({hardState: {term: 1}, entries: [], snapshot: undefined});
await folder.close();
```
*/
export class DataFolder {
	/** What the operators should know of the start, such as an unfinished write that was cut back. */
	readonly warnings: readonly string[];
	readonly #place: Place;
	readonly #segmentBytes: number;
	readonly #unlock: Unlock;
	readonly #segments: SegmentWriter;
	/** The terms of the entries after `#base`. */
	readonly #terms: number[];
	#base: {index: number; term: number};
	#hardState: HardState;
	#stored: StoredState | undefined;
	#failure: Failure | undefined;
	#batches = 0;
	#queue: Promise<unknown> = Promise.resolve();
	#snapshotInProgress: Promise<void> | undefined;

	constructor({place, segmentBytes, identity, isNew, loaded, unlock}: DataFolderParts) {
		const {snapshot, entries, log} = loaded;
		this.#place = place;
		this.#segmentBytes = segmentBytes;
		this.#unlock = unlock;
		this.#segments = new SegmentWriter(place, {identity, older: log.segments});
		this.#terms = entries.map(({term}) => term);
		this.#base = {index: snapshot?.lastIndex ?? 0, term: snapshot?.lastTerm ?? 0};
		this.#hardState = log.hardState;
		this.#stored = {
			identity, isNew, hardState: log.hardState, snapshot, entries,
		};
		this.warnings = loaded.warnings;
	}

	/** Why nothing can be written any more, once a write failed. */
	get failure(): Failure | undefined {
		return this.#failure;
	}

	/** How much was written. */
	get written(): WrittenCounts {
		return {batches: this.#batches, segmentBytes: this.#segments.bytesWritten};
	}

	get #lastIndex(): number {
		return this.#base.index + this.#terms.length;
	}

	/**
	Hands over what the folder held when it was opened, and forgets it.

	@returns The state.
	@throws If it was handed over before.
	*/
	takeStored(): StoredState {
		const stored = this.#stored;
		if (stored === undefined) {
			throw new RangeError('Got a second call of takeStored, wanted one');
		}

		this.#stored = undefined;
		return stored;
	}

	/**
	Writes what a step of the replica asks for; one write and one sync for all of it.

	A snapshot of entries that the log holds is written in the background, since the log alone is enough until it is there; a snapshot that replaces the log is on the disk before this returns.

	@param action What must be on the disk.
	@returns Nothing once it is on the disk; else why not, and then every later call fails in the same way.
	*/
	async persist(action: PersistAction): Promise<Either<Failure, undefined>> {
		return this.#inTurn(async () => this.#persist(action));
	}

	/** Waits for writes in progress, closes the files and gives the lock back. */
	async close(): Promise<void> {
		await this.#snapshotInProgress;
		await this.#queue;
		await this.#segments.close();
		await this.#unlock();
	}

	/** Begins the first segment of this run; `openDataFolder` calls it once. */
	async begin(keepsEarlier: boolean): Promise<void> {
		await this.#beginSegment(keepsEarlier);
		if (!keepsEarlier) {
			await this.#segments.removeOlder();
		}
	}

	async #persist({hardState, entries, snapshot, discardsLog}: PersistAction): Promise<void> {
		this.#hardState = hardState ?? this.#hardState;
		if (snapshot !== undefined && discardsLog) {
			await this.#install(snapshot);
		}

		if (hardState !== undefined || entries.length > 0) {
			await this.#append({hardState, entries});
		}

		if (snapshot !== undefined && !discardsLog) {
			this.#snapshotInProgress = this.#writeInBackground(snapshot, this.#snapshotInProgress);
		}
	}

	async #append({hardState, entries}: Pick<PersistAction, 'hardState' | 'entries'>): Promise<void> {
		if (this.#segments.segmentBytes >= this.#segmentBytes) {
			await this.#beginSegment(true);
		}

		this.#noteTerms(entries);
		await this.#segments.append({type: 'batch', ...(hardState !== undefined && {hardState}), entries});
		this.#batches++;
	}

	#noteTerms(entries: readonly LogEntry[]): void {
		for (const {index, term} of entries) {
			const position = index - this.#base.index - 1;
			if (position < 0 || position > this.#terms.length) {
				throw new StorageError(`Got entry ${index} for a log of entries ${this.#base.index + 1} to ${this.#lastIndex}, wanted no gap`);
			}

			this.#terms.length = position;
			this.#terms.push(term);
		}
	}

	async #install(snapshot: Snapshot): Promise<void> {
		await writeSnapshot(this.#place, snapshot);
		this.#base = {index: snapshot.lastIndex, term: snapshot.lastTerm};
		this.#terms.length = 0;
		await this.#beginSegment(false);
		await this.#segments.removeOlder();
		await removeSnapshotsBefore(this.#place, snapshot.lastIndex);
	}

	async #writeInBackground(snapshot: Snapshot, earlier: Promise<void> | undefined): Promise<void> {
		await earlier;
		if (this.#failure !== undefined || snapshot.lastIndex < this.#base.index) {
			return;
		}

		try {
			await writeSnapshot(this.#place, snapshot);
		} catch (error) {
			this.#fail(error);
			return;
		}

		await this.#inTurn(async () => this.#compact(snapshot));
	}

	async #compact({lastIndex, lastTerm}: Snapshot): Promise<void> {
		if (lastIndex < this.#base.index) {
			return;
		}

		this.#terms.splice(0, lastIndex - this.#base.index);
		this.#base = {index: lastIndex, term: lastTerm};
		await this.#segments.removeThrough(lastIndex);
		await removeSnapshotsBefore(this.#place, lastIndex);
	}

	async #beginSegment(keepsEarlier: boolean): Promise<void> {
		await this.#segments.begin({hardState: this.#hardState, previousIndex: this.#lastIndex, keepsEarlier});
	}

	async #inTurn(write: () => Promise<void>): Promise<Either<Failure, undefined>> {
		const turn = this.#queue.then(async () => {
			if (this.#failure !== undefined) {
				return Left(this.#failure);
			}

			try {
				await write();
				return Right(undefined);
			} catch (error) {
				return Left(this.#fail(error));
			}
		});
		this.#queue = turn;
		return turn;
	}

	#fail(error: unknown): Failure {
		this.#failure ??= toStorageFailure(error, this.#place.folder);
		return this.#failure;
	}
}

/** Turns what a file function threw into a failure. */
export function toStorageFailure(error: unknown, folder: string): Failure {
	const message = error instanceof Error ? error.message : String(error);
	return failure('internal', error instanceof StorageError ? message : `Got ${message} for the data folder ${folder}, wanted it to be written`, {
		...(error instanceof StorageError && error.place !== undefined && {details: error.place}),
	});
}
