import path from 'node:path';
import {writeFrame} from './_frame.js';
import {segmentName} from './_names.js';
import {type Place} from './_place.js';
import {type BatchRecord, formatVersion, type SegmentHeader} from './_records.js';
import {type OldSegment, sealFrame} from './_replay-log.js';
import {type OpenFile} from './file-functions.js';

type Opened = {
	readonly file: OpenFile;
	readonly sequence: number;
	bytes: number;
	greatestIndex: number;
};

/** What a new segment begins with. */
export type NewSegment = Pick<SegmentHeader, 'hardState' | 'previousIndex' | 'keepsEarlier'>;

/** Writes the segments of a log: one write and one sync a batch. */
export class SegmentWriter {
	readonly #place: Place;
	readonly #identity: string;
	readonly #older: OldSegment[];
	#opened: Opened | undefined;
	#bytesWritten = 0;

	constructor(place: Place, {identity, older}: {readonly identity: string; readonly older: readonly OldSegment[]}) {
		this.#place = place;
		this.#identity = identity;
		this.#older = [...older];
	}

	/** The size of the segment that is written, in bytes. */
	get segmentBytes(): number {
		return this.#opened?.bytes ?? 0;
	}

	/** Bytes written to segments since the folder was opened. */
	get bytesWritten(): number {
		return this.#bytesWritten;
	}

	/** Appends a batch and returns once it is on the disk. */
	async append(batch: BatchRecord): Promise<void> {
		const opened = this.#opened;
		if (opened === undefined) {
			throw new RangeError('Got a batch before a segment was begun');
		}

		const data = writeFrame(batch);
		await opened.file.append(data);
		await opened.file.sync();
		opened.bytes += data.length;
		this.#bytesWritten += data.length;
		for (const {index} of batch.entries) {
			opened.greatestIndex = Math.max(opened.greatestIndex, index);
		}
	}

	/** Begins the next segment; the one before is marked as followed once the next one is on the disk. */
	async begin(start: NewSegment): Promise<void> {
		const {folder, files} = this.#place;
		const sequence = (this.#opened?.sequence ?? this.#older.at(-1)?.sequence ?? 0) + 1;
		const header: SegmentHeader = {
			type: 'header', version: formatVersion, sequence, identity: this.#identity, ...start,
		};
		const data = writeFrame(header);
		const file = await files.create(path.join(folder, segmentName(sequence)));
		const earlier = this.#opened;
		this.#opened = {
			file, sequence, bytes: data.length, greatestIndex: start.previousIndex,
		};
		await file.append(data);
		await file.sync();
		await files.syncFolder(folder);
		this.#bytesWritten += data.length;
		await this.#seal(earlier);
	}

	/** Removes the oldest segments that mention only entries up to an index. */
	async removeThrough(index: number): Promise<void> {
		const {folder, files} = this.#place;
		while (this.#older[0] !== undefined && this.#older[0].greatestIndex <= index) {
			await files.remove(path.join(folder, segmentName(this.#older[0].sequence)));
			this.#older.shift();
		}
	}

	/** Removes all segments but the one that is written. */
	async removeOlder(): Promise<void> {
		await this.removeThrough(Number.POSITIVE_INFINITY);
	}

	async close(): Promise<void> {
		const opened = this.#opened;
		this.#opened = undefined;
		await opened?.file.close();
	}

	async #seal(earlier: Opened | undefined): Promise<void> {
		if (earlier === undefined) {
			await this.#sealOnDisk();
			return;
		}

		this.#older.push({sequence: earlier.sequence, greatestIndex: earlier.greatestIndex});
		await sealAndClose(earlier.file);
	}

	async #sealOnDisk(): Promise<void> {
		const last = this.#older.at(-1);
		if (last !== undefined) {
			await sealAndClose(await this.#place.files.openForAppend(path.join(this.#place.folder, segmentName(last.sequence))));
		}
	}
}

async function sealAndClose(file: OpenFile): Promise<void> {
	try {
		await file.append(sealFrame);
		await file.sync();
	} finally {
		await file.close();
	}
}
