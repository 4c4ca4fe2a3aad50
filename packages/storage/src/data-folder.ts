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

/** The parts that a `DataFolder` is constructed from. */
export type DataFolderParts = {
	readonly access: FolderAccess;
	readonly segmentBytes: number;
	readonly identity: string;
	readonly isNew: boolean;
	readonly loaded: LoadedFolder;
	readonly unlock: Unlock;
};

/** Write counters since the folder was opened. */
export type WriteCounters = {
	/** Batches that were written and synced. */
	readonly batches: number;
	/** Bytes written to log segments. */
	readonly segmentBytes: number;
};

/**
An open data folder. Once `persist` succeeds, the data is durable.

@example
```ts
const folder = (await openDataFolder('data/entry-1')).unsafeCoerce();
const {identity, entries} = folder.takeStoredState();
await folder.persist({hardState: {term: 1}, entries: [], snapshot: undefined});
await folder.close();
```
*/
export class DataFolder {
	/** Warnings about repairs made while opening the folder, such as a truncated torn write. */
	readonly warnings: readonly string[];
	readonly #access: FolderAccess;
	readonly #segmentBytes: number;
	readonly #unlock: Unlock;
	readonly #segmentWriter: SegmentWriter;
	/** The terms of the log entries after `#base`. */
	readonly #terms: number[];
	#base: {index: number; term: number};
	#hardState: HardState;
	#storedState: StoredState | undefined;
	#failure: Failure | undefined;
	#batchCount = 0;
	#lastWrite: Promise<unknown> = Promise.resolve();
	#lastSnapshotWrite: Promise<void> | undefined;

	constructor({access, segmentBytes, identity, isNew, loaded, unlock}: DataFolderParts) {
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

	/** The first write failure, after which every write is rejected; undefined if no write has failed. */
	get failure(): Failure | undefined {
		return this.#failure;
	}

	get writeCounters(): WriteCounters {
		return {batches: this.#batchCount, segmentBytes: this.#segmentWriter.bytesWritten};
	}

	get #lastIndex(): number {
		return this.#base.index + this.#terms.length;
	}

	/**
	Returns the state that was read when the folder was opened, and releases the memory it occupies.

	@returns The stored state.
	@throws {RangeError} If the state was already taken.
	*/
	takeStoredState(): StoredState {
		const storedState = this.#storedState;
		if (storedState === undefined) {
			throw new RangeError('The stored state was already taken');
		}

		this.#storedState = undefined;
		return storedState;
	}

	/**
	Persists the output of one replica step. The hard state and the entries share one write and one sync.

	A snapshot of entries that are still in the log is written in the background, because the log alone is enough for recovery until the snapshot is complete. A snapshot that replaces the log, and the initial one, are durable before this method returns.

	@param action The state to persist.
	@returns Nothing once the data is durable. On failure, the reason; every later call then fails with the same reason.
	*/
	async persist(action: PersistAction): Promise<Either<Failure, undefined>> {
		return this.#enqueue(async () => this.#persist(action));
	}

	/** Waits for writes in progress, closes the files and releases the lock. */
	async close(): Promise<void> {
		await this.#lastSnapshotWrite;
		await this.#lastWrite;
		await this.#segmentWriter.close();
		await this.#unlock();
	}

	/** Starts the first segment of this run; called once by `openDataFolder`. */
	async startFirstSegment(keepsEarlier: boolean): Promise<void> {
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

		// No entry holds the initial replica set, so the log alone is not enough for recovery.
		const isInitial = snapshot?.lastIndex === 0;
		if (isInitial) {
			await writeSnapshot(this.#access, snapshot);
		}

		if (hardState !== undefined || entries.length > 0) {
			await this.#append({hardState, entries});
		}

		if (snapshot !== undefined && !discardsLog && !isInitial) {
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
				throw new StorageError(`Cannot append entry ${index} to a log of entries ${this.#base.index + 1} to ${this.#lastIndex}: the log would have a gap`);
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

/** Converts an error thrown by a file operation into a failure. */
export function toStorageFailure(error: unknown, folder: string): Failure {
	const message = error instanceof Error ? error.message : String(error);
	return failure('internal', error instanceof StorageError ? message : `Cannot access the data folder ${folder}: ${message}`, {
		...(error instanceof StorageError && error.location !== undefined && {details: error.location}),
	});
}
