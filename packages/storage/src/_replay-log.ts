import {Buffer} from 'node:buffer';
import path from 'node:path';
import {type HardState} from '@valehitch/consensus';
import {match} from 'ts-pattern';
import {readFrame, writeFrame} from './_frame.js';
import {LogImage} from './_log-image.js';
import {segmentName, segmentSequences} from './_names.js';
import {type Place} from './_place.js';
import {
	formatVersion, type SealRecord, type SegmentHeader, type SegmentRecord,
} from './_records.js';
import {StorageError} from './_storage-error.js';

/** A segment that is complete. */
export type OldSegment = {
	readonly sequence: number;
	/** The greatest index that it mentions. */
	readonly greatestIndex: number;
};

/** What the segments say. */
export type ReplayedLog = {
	readonly hardState: HardState;
	readonly image: LogImage;
	readonly segments: readonly OldSegment[];
	/** The last index before the oldest segment. */
	readonly previousIndex: number;
	/** How many bytes of an unfinished write were cut back. */
	readonly tornBytes: number;
};

export const sealFrame = writeFrame({type: 'seal'} satisfies SealRecord);

/** Reads all segments in order, and cuts an unfinished write at the end back. */
export async function replayLog(place: Place, identity: string): Promise<ReplayedLog> {
	const replay = new Replay(place, identity);
	const sequences = segmentSequences(await place.files.list(place.folder));
	for (const sequence of sequences) {
		await replay.read(sequence, sequence === sequences.at(-1));
	}

	return replay.finish();
}

class Replay {
	readonly #place: Place;
	readonly #identity: string;
	readonly #image = new LogImage();
	readonly #segments: OldSegment[] = [];
	#hardState: HardState = {term: 0};
	#previousIndex = 0;
	#greatestIndex = 0;
	#isSealed = false;
	#tornBytes = 0;

	constructor(place: Place, identity: string) {
		this.#place = place;
		this.#identity = identity;
	}

	async read(sequence: number, isLast: boolean): Promise<void> {
		const earlier = this.#segments.at(-1);
		if (earlier !== undefined && sequence !== earlier.sequence + 1) {
			throw this.#missing(earlier.sequence + 1);
		}

		const file = path.join(this.#place.folder, segmentName(sequence));
		const data = await this.#place.files.read(file);
		const end = this.#readFrames(data, {file, sequence});
		if (end < data.length) {
			await this.#cutBack({
				file, data, end, isLast,
			});
		}

		if (end > 0) {
			this.#segments.push({sequence, greatestIndex: this.#greatestIndex});
		}
	}

	finish(): ReplayedLog {
		const last = this.#segments.at(-1);
		if (this.#isSealed && last !== undefined) {
			throw this.#missing(last.sequence + 1);
		}

		return {
			hardState: this.#hardState,
			image: this.#image,
			segments: this.#segments,
			previousIndex: this.#previousIndex,
			tornBytes: this.#tornBytes,
		};
	}

	#readFrames(data: Uint8Array, {file, sequence}: {readonly file: string; readonly sequence: number}): number {
		let offset = 0;
		while (offset < data.length) {
			const frame = readFrame(data, offset);
			if (frame.type === 'torn') {
				return offset;
			}

			const place = {file, offset};
			if (frame.type === 'damaged') {
				throw new StorageError(`Got a damaged record (${frame.reason}), wanted one whose checksums hold`, place);
			}

			this.#take(frame.body as SegmentRecord, {...place, sequence});
			offset = frame.end;
		}

		return offset;
	}

	#take(record: SegmentRecord, place: {readonly file: string; readonly offset: number; readonly sequence: number}): void {
		if (this.#isSealed && record.type !== 'header') {
			throw new StorageError(`Got a record of type ${record.type} after the end of the segment`, place);
		}

		if ((place.offset === 0) !== (record.type === 'header')) {
			throw new StorageError(`Got a record of type ${record.type}, wanted the header first and once`, place);
		}

		match(record)
			.with({type: 'header'}, header => {
				this.#takeHeader(header, place);
			})
			.with({type: 'batch'}, ({hardState, entries}) => {
				this.#hardState = hardState ?? this.#hardState;
				for (const entry of entries) {
					if (!this.#image.take(entry)) {
						throw new StorageError(`Got entry ${entry.index}, wanted at most entry ${this.#image.lastIndex + 1}`, place);
					}

					this.#greatestIndex = Math.max(this.#greatestIndex, entry.index);
				}
			})
			.with({type: 'seal'}, () => {
				this.#isSealed = true;
			})
			.exhaustive();
	}

	#takeHeader(header: SegmentHeader, place: {readonly file: string; readonly offset: number; readonly sequence: number}): void {
		if (header.version !== formatVersion) {
			throw new StorageError(`Got a segment of format ${header.version}, wanted format ${formatVersion}`, place);
		}

		if (header.identity !== this.#identity || header.sequence !== place.sequence) {
			throw new StorageError(`Got segment ${header.sequence} of folder ${header.identity}, wanted segment ${place.sequence} of folder ${this.#identity}`, place);
		}

		const isOldest = this.#segments.length === 0;
		if (isOldest || !header.keepsEarlier) {
			this.#image.reset(header.previousIndex);
			this.#previousIndex = header.previousIndex;
		} else if (header.previousIndex !== this.#image.lastIndex) {
			throw new StorageError(`Got a segment that begins after entry ${header.previousIndex}, wanted it after entry ${this.#image.lastIndex}`, place);
		}

		this.#greatestIndex = header.previousIndex;
		this.#isSealed = false;
		this.#hardState = header.hardState;
	}

	async #cutBack({file, data, end, isLast}: {readonly file: string; readonly data: Uint8Array; readonly end: number; readonly isLast: boolean}): Promise<void> {
		const rest = Buffer.from(data.buffer, data.byteOffset + end, data.length - end);
		const isUnfinishedSeal = end > 0 && rest.length < sealFrame.length && rest.equals(sealFrame.subarray(0, rest.length));
		if (!isLast && !isUnfinishedSeal) {
			throw new StorageError('Got an unfinished record in a segment that is not the last, wanted it whole', {file, offset: end});
		}

		this.#tornBytes += rest.length;
		const {files, folder} = this.#place;
		if (end === 0) {
			await files.remove(file);
			await files.syncFolder(folder);
			return;
		}

		const open = await files.openForAppend(file);
		try {
			await open.truncate(end);
			await open.sync();
		} finally {
			await open.close();
		}
	}

	#missing(sequence: number): StorageError {
		return new StorageError(`Got no ${segmentName(sequence)} in ${this.#place.folder}, wanted every segment up to the last`);
	}
}
