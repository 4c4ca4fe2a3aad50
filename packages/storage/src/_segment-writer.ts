import path from 'node:path';
import {encodeFrame} from './_frame.js';
import {segmentFileName} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {type BatchRecord, formatVersion, type SegmentHeader} from './_records.js';
import {type ClosedSegment, sealFrame} from './_replay-log.js';
import {type WritableFile} from './file-system.js';

type ActiveSegment = {
	readonly file: WritableFile;
	readonly sequence: number;
	bytes: number;
	highestIndex: number;
};

/** The log position and hard state recorded in the header of a new segment. */
export type SegmentStart = Pick<SegmentHeader, 'hardState' | 'previousIndex' | 'keepsEarlier'>;

/** Writes log segments, with one write and one sync per batch. */
export class SegmentWriter {
	readonly #access: FolderAccess;
	readonly #identity: string;
	readonly #closed: ClosedSegment[];
	#active: ActiveSegment | undefined;
	#bytesWritten = 0;

	constructor(access: FolderAccess, {identity, closed}: {readonly identity: string; readonly closed: readonly ClosedSegment[]}) {
		this.#access = access;
		this.#identity = identity;
		this.#closed = [...closed];
	}

	/** The size of the active segment in bytes. */
	get activeBytes(): number {
		return this.#active?.bytes ?? 0;
	}

	/** The number of bytes in headers and batches written since the folder was opened. */
	get bytesWritten(): number {
		return this.#bytesWritten;
	}

	/** Appends a batch to the active segment and syncs it. */
	async append(batch: BatchRecord): Promise<void> {
		const active = this.#active;
		if (active === undefined) {
			throw new RangeError('Cannot append a batch before the first segment is started');
		}

		const data = encodeFrame(batch);
		await active.file.append(data);
		await active.file.sync();
		active.bytes += data.length;
		this.#bytesWritten += data.length;
		for (const {index} of batch.entries) {
			active.highestIndex = Math.max(active.highestIndex, index);
		}
	}

	/** Starts the next segment, and seals the previous one once the new one is durable. */
	async startSegment(start: SegmentStart): Promise<void> {
		const {folder, fileSystem} = this.#access;
		const sequence = (this.#active?.sequence ?? this.#closed.at(-1)?.sequence ?? 0) + 1;
		const header: SegmentHeader = {
			type: 'header', version: formatVersion, sequence, identity: this.#identity, ...start,
		};
		const data = encodeFrame(header);
		const file = await fileSystem.create(path.join(folder, segmentFileName(sequence)));
		const previous = this.#active;
		this.#active = {
			file, sequence, bytes: data.length, highestIndex: start.previousIndex,
		};
		await file.append(data);
		await file.sync();
		await fileSystem.syncFolder(folder);
		this.#bytesWritten += data.length;
		await this.#sealPrevious(previous);
	}

	/** Removes the oldest closed segments whose entries are all at or before `index`. */
	async removeClosedThrough(index: number): Promise<void> {
		const {folder, fileSystem} = this.#access;
		while (this.#closed[0] !== undefined && this.#closed[0].highestIndex <= index) {
			await fileSystem.remove(path.join(folder, segmentFileName(this.#closed[0].sequence)));
			this.#closed.shift();
		}
	}

	/** Removes all segments except the active one. */
	async removeClosed(): Promise<void> {
		await this.removeClosedThrough(Number.POSITIVE_INFINITY);
	}

	async close(): Promise<void> {
		const active = this.#active;
		this.#active = undefined;
		await active?.file.close();
	}

	async #sealPrevious(previous: ActiveSegment | undefined): Promise<void> {
		if (previous === undefined) {
			await this.#sealLastOfPreviousRun();
			return;
		}

		this.#closed.push({sequence: previous.sequence, highestIndex: previous.highestIndex});
		await sealAndClose(previous.file);
	}

	async #sealLastOfPreviousRun(): Promise<void> {
		const last = this.#closed.at(-1);
		if (last !== undefined) {
			await sealAndClose(await this.#access.fileSystem.openForAppend(path.join(this.#access.folder, segmentFileName(last.sequence))));
		}
	}
}

async function sealAndClose(file: WritableFile): Promise<void> {
	try {
		await file.append(sealFrame);
		await file.sync();
	} finally {
		await file.close();
	}
}
