import {
	type HardState, type LogEntry, type PersistAction, type Snapshot,
} from '@valehitch/consensus';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type LoadedFolder} from './_load-folder.js';
import {type FolderAccess} from './_folder-access.js';
import {SegmentWriter} from './_segment-writer.js';
import {removeSnapshotsBefore, writeSnapshot} from './_snapshot-file.js';
import {StorageError} from './_storage-error.js';
import {type Unlock} from './lock-folder.js';
import {type StoredState} from './stored-state.js';

/** What an open data folder is made of. */
export type DataFolderParts = {
	readonly place: FolderAccess;
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
	readonly #access: FolderAccess;
	readonly #segmentBytes: number;
	readonly #unlock: Unlock;
	readonly #segmentWriter: SegmentWriter;
	/** The terms of the entries after `#base`. */
	readonly #terms: number[];
	#base: {index: number; term: number};
	#hardState: HardState;
	#storedState: StoredState | undefined;
	#failure: Failure | undefined;
	#batchCount = 0;
	#lastWrite: Promise<unknown> = Promise.resolve();
	#lastSnapshotWrite: Promise<void> | undefined;

	constructor({place: access, segmentBytes, identity, isNew, loaded, unlock}: DataFolderParts) {
		const {snapshot, entries, log} = loaded;
		this.#access = access;
		this.#segmentBytes = segmentBytes;
		this.#unlock = unlock;
		this.#segmentWriter = new SegmentWriter(access, {identity, closed: log.segments});
		this.#terms = entries.map(({term}) => term);
		this.#base = {index: snapshot?.lastIndex ?? 0, term: snapshot?.lastTerm ?? 0};
		this.#hardState = log.hardState;
		this.#storedState = {
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
		return {batches: this.#batchCount, segmentBytes: this.#segmentWriter.bytesWritten};
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
		const storedState = this.#storedState;
		if (storedState === undefined) {
			throw new RangeError('Got a second call of takeStored, wanted one');
		}

		this.#storedState = undefined;
		return storedState;
	}

	/**
	Writes what a step of the replica asks for; one write and one sync for all of it.

	A snapshot of entries that the log holds is written in the background, since the log alone is enough until it is there; a snapshot that replaces the log is on the disk before this returns.

	@param action What must be on the disk.
	@returns Nothing once it is on the disk; else why not, and then every later call fails in the same way.
	*/
	async persist(action: PersistAction): Promise<Either<Failure, undefined>> {
		return this.#enqueue(async () => this.#persist(action));
	}

	/** Waits for writes in progress, closes the files and gives the lock back. */
	async close(): Promise<void> {
		await this.#lastSnapshotWrite;
		await this.#lastWrite;
		await this.#segmentWriter.close();
		await this.#unlock();
	}

	/** Begins the first segment of this run; `openDataFolder` calls it once. */
	async begin(keepsEarlier: boolean): Promise<void> {
		await this.#startSegment(keepsEarlier);
		if (!keepsEarlier) {
			await this.#segmentWriter.removeClosed();
		}
	}

	async #persist({hardState, entries, snapshot, discardsLog}: PersistAction): Promise<void> {
		this.#hardState = hardState ?? this.#hardState;
		if (snapshot !== undefined && discardsLog) {
			await this.#installSnapshot(snapshot);
		}

		if (hardState !== undefined || entries.length > 0) {
			await this.#append({hardState, entries});
		}

		if (snapshot !== undefined && !discardsLog) {
			this.#lastSnapshotWrite = this.#writeSnapshotInBackground(snapshot, this.#lastSnapshotWrite);
		}
	}

	async #append({hardState, entries}: Pick<PersistAction, 'hardState' | 'entries'>): Promise<void> {
		if (this.#segmentWriter.activeBytes >= this.#segmentBytes) {
			await this.#startSegment(true);
		}

		this.#recordTerms(entries);
		await this.#segmentWriter.append({type: 'batch', ...(hardState !== undefined && {hardState}), entries});
		this.#batchCount++;
	}

	#recordTerms(entries: readonly LogEntry[]): void {
		for (const {index, term} of entries) {
			const position = index - this.#base.index - 1;
			if (position < 0 || position > this.#terms.length) {
				throw new StorageError(`Got entry ${index} for a log of entries ${this.#base.index + 1} to ${this.#lastIndex}, wanted no gap`);
			}

			this.#terms.length = position;
			this.#terms.push(term);
		}
	}

	async #installSnapshot(snapshot: Snapshot): Promise<void> {
		await writeSnapshot(this.#access, snapshot);
		this.#base = {index: snapshot.lastIndex, term: snapshot.lastTerm};
		this.#terms.length = 0;
		await this.#startSegment(false);
		await this.#segmentWriter.removeClosed();
		await removeSnapshotsBefore(this.#access, snapshot.lastIndex);
	}

	async #writeSnapshotInBackground(snapshot: Snapshot, previousWrite: Promise<void> | undefined): Promise<void> {
		await previousWrite;
		if (this.#failure !== undefined || snapshot.lastIndex < this.#base.index) {
			return;
		}

		try {
			await writeSnapshot(this.#access, snapshot);
		} catch (error) {
			this.#recordFailure(error);
			return;
		}

		await this.#enqueue(async () => this.#compact(snapshot));
	}

	async #compact({lastIndex, lastTerm}: Snapshot): Promise<void> {
		if (lastIndex < this.#base.index) {
			return;
		}

		this.#terms.splice(0, lastIndex - this.#base.index);
		this.#base = {index: lastIndex, term: lastTerm};
		await this.#segmentWriter.removeClosedThrough(lastIndex);
		await removeSnapshotsBefore(this.#access, lastIndex);
	}

	async #startSegment(keepsEarlier: boolean): Promise<void> {
		await this.#segmentWriter.startSegment({hardState: this.#hardState, previousIndex: this.#lastIndex, keepsEarlier});
	}

	async #enqueue(write: () => Promise<void>): Promise<Either<Failure, undefined>> {
		const result = this.#lastWrite.then(async () => {
			if (this.#failure !== undefined) {
				return Left(this.#failure);
			}

			try {
				await write();
				return Right(undefined);
			} catch (error) {
				return Left(this.#recordFailure(error));
			}
		});
		this.#lastWrite = result;
		return result;
	}

	#recordFailure(error: unknown): Failure {
		this.#failure ??= toStorageFailure(error, this.#access.folder);
		return this.#failure;
	}
}

/** Turns what a file function threw into a failure. */
export function toStorageFailure(error: unknown, folder: string): Failure {
	const message = error instanceof Error ? error.message : String(error);
	return failure('internal', error instanceof StorageError ? message : `Got ${message} for the data folder ${folder}, wanted it to be written`, {
		...(error instanceof StorageError && error.location !== undefined && {details: error.location}),
	});
}
