import {Buffer} from 'node:buffer';
import path from 'node:path';
import {type HardState} from '@valehitch/consensus';
import {match} from 'ts-pattern';
import {decodeFrame, encodeFrame} from './_frame.js';
import {MemoryLog} from './_memory-log.js';
import {segmentFileName, segmentSequences} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {
	formatVersion, type SealRecord, type SegmentHeader, type SegmentRecord,
} from './_records.js';
import {StorageError} from './_storage-error.js';

/** A segment that receives no more batches. */
export type ClosedSegment = {
	readonly sequence: number;
	/** The highest entry index in the segment. */
	readonly highestIndex: number;
};

/** The state reconstructed from the log segments. */
export type ReplayedLog = {
	readonly hardState: HardState;
	readonly memoryLog: MemoryLog;
	readonly segments: readonly ClosedSegment[];
	/** The index of the last entry before the reconstructed log. */
	readonly previousIndex: number;
	/** The number of bytes truncated from torn writes. */
	readonly tornBytes: number;
	/** The last gap between the segments; a snapshot must cover all entries before `previousIndex`. */
	readonly gap: StorageError | undefined;
};

export const sealFrame = encodeFrame({type: 'seal'} satisfies SealRecord);

/** Reads all segments in order and truncates a torn write at the end of the log. */
export async function replayLog(access: FolderAccess, identity: string): Promise<ReplayedLog> {
	const replay = new LogReplay(access, identity);
	const sequences = segmentSequences(await access.fileSystem.list(access.folder));
	for (const sequence of sequences) {
		await replay.readSegment(sequence, sequence === sequences.at(-1));
	}

	return replay.finish();
}

class LogReplay {
	readonly #access: FolderAccess;
	readonly #identity: string;
	readonly #memoryLog = new MemoryLog();
	readonly #segments: ClosedSegment[] = [];
	#hardState: HardState = {term: 0};
	#previousIndex = 0;
	#highestIndex = 0;
	#isSealed = false;
	#gap: StorageError | undefined;
	#isAfterGap = false;
	#tornBytes = 0;

	constructor(access: FolderAccess, identity: string) {
		this.#access = access;
		this.#identity = identity;
	}

	async readSegment(sequence: number, isLast: boolean): Promise<void> {
		const previous = this.#segments.at(-1);
		if (previous !== undefined && sequence !== previous.sequence + 1) {
			// A power loss may bring back some of the segments that were removed, and not others.
			this.#gap = this.#missingSegment(previous.sequence + 1);
			this.#isAfterGap = true;
		}

		const file = path.join(this.#access.folder, segmentFileName(sequence));
		const data = await this.#access.fileSystem.read(file);
		const end = this.#readFrames(data, {file, sequence});
		if (end < data.length) {
			await this.#truncateTornWrite({
				file, data, end, isLast,
			});
		}

		if (end > 0) {
			this.#segments.push({sequence, highestIndex: this.#highestIndex});
		}
	}

	finish(): ReplayedLog {
		if (this.#isAfterGap && this.#gap !== undefined) {
			throw this.#gap;
		}

		const last = this.#segments.at(-1);
		if (this.#isSealed && last !== undefined) {
			throw this.#missingSegment(last.sequence + 1);
		}

		return {
			hardState: this.#hardState,
			memoryLog: this.#memoryLog,
			segments: this.#segments,
			previousIndex: this.#previousIndex,
			tornBytes: this.#tornBytes,
			gap: this.#gap,
		};
	}

	#readFrames(data: Uint8Array, {file, sequence}: {readonly file: string; readonly sequence: number}): number {
		let offset = 0;
		while (offset < data.length) {
			const frame = decodeFrame(data, offset);
			if (frame.type === 'torn') {
				return offset;
			}

			const location = {file, offset};
			if (frame.type === 'damaged') {
				throw new StorageError(`Found a damaged record (${frame.reason})`, location);
			}

			this.#applyRecord(frame.body as SegmentRecord, {...location, sequence});
			offset = frame.end;
		}

		return offset;
	}

	#applyRecord(record: SegmentRecord, location: {readonly file: string; readonly offset: number; readonly sequence: number}): void {
		if (this.#isSealed && record.type !== 'header') {
			throw new StorageError(`Found a record of type ${record.type} after the end of the segment`, location);
		}

		if ((location.offset === 0) !== (record.type === 'header')) {
			throw new StorageError(`Found a record of type ${record.type}: a segment must have exactly one header, as its first record`, location);
		}

		match(record)
			.with({type: 'header'}, header => {
				this.#applyHeader(header, location);
			})
			.with({type: 'batch'}, ({hardState, entries}) => {
				this.#hardState = hardState ?? this.#hardState;
				for (const entry of entries) {
					if (!this.#memoryLog.append(entry)) {
						throw new StorageError(`Found entry ${entry.index}, expected at most entry ${this.#memoryLog.lastIndex + 1}`, location);
					}

					this.#highestIndex = Math.max(this.#highestIndex, entry.index);
				}
			})
			.with({type: 'seal'}, () => {
				this.#isSealed = true;
			})
			.exhaustive();
	}

	#applyHeader(header: SegmentHeader, location: {readonly file: string; readonly offset: number; readonly sequence: number}): void {
		if (header.version !== formatVersion) {
			throw new StorageError(`Unsupported segment format ${header.version}, expected format ${formatVersion}`, location);
		}

		if (header.identity !== this.#identity || header.sequence !== location.sequence) {
			throw new StorageError(`Found segment ${header.sequence} of folder ${header.identity}, expected segment ${location.sequence} of folder ${this.#identity}`, location);
		}

		const isOldest = this.#segments.length === 0 || this.#isAfterGap;
		this.#isAfterGap = false;
		if (isOldest || !header.keepsEarlier) {
			this.#memoryLog.reset(header.previousIndex);
			this.#previousIndex = header.previousIndex;
		} else if (header.previousIndex !== this.#memoryLog.lastIndex) {
			throw new StorageError(`Found a segment that starts after entry ${header.previousIndex}, expected it to start after entry ${this.#memoryLog.lastIndex}`, location);
		}

		this.#highestIndex = header.previousIndex;
		this.#isSealed = false;
		this.#hardState = header.hardState;
	}

	async #truncateTornWrite({file, data, end, isLast}: {readonly file: string; readonly data: Uint8Array; readonly end: number; readonly isLast: boolean}): Promise<void> {
		const tail = Buffer.from(data.buffer, data.byteOffset + end, data.length - end);
		const isUnfinishedSeal = end > 0 && isPartOfSeal(tail);
		if (!isLast && !isUnfinishedSeal) {
			throw new StorageError('Found an incomplete record in a segment that is not the last', {file, offset: end});
		}

		this.#tornBytes += tail.length;
		const {fileSystem, folder} = this.#access;
		if (end === 0) {
			await fileSystem.remove(file);
			await fileSystem.syncFolder(folder);
			return;
		}

		const open = await fileSystem.openForAppend(file);
		try {
			await open.truncate(end);
			await open.sync();
		} finally {
			await open.close();
		}
	}

	#missingSegment(sequence: number): StorageError {
		return new StorageError(`The log segment ${segmentFileName(sequence)} is missing in ${this.#access.folder}`);
	}
}

/** Returns whether a power loss during the write of a seal may have left these bytes: its first ones, or zeros if only the file's length was written. */
function isPartOfSeal(tail: Uint8Array): boolean {
	const isBeginning = tail.every((byte, position) => byte === sealFrame[position]);
	const isUnwritten = tail.every(byte => byte === 0);
	return tail.length <= sealFrame.length && (isBeginning || isUnwritten);
}
