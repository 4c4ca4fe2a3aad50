import {type HardState, type LogEntry} from '@valehitch/consensus';

/** What the first frame of a segment says. */
export type SegmentHeader = {
	readonly type: 'header';
	readonly version: number;
	readonly sequence: number;
	/** The identity of the folder that the segment belongs to. */
	readonly identity: string;
	readonly hardState: HardState;
	/** The last index of the log before the segment. */
	readonly previousIndex: number;
	/** False where a snapshot replaced everything that earlier segments hold. */
	readonly keepsEarlier: boolean;
};

/** One batch: what one write and one sync put on the disk. */
export type BatchRecord = {
	readonly type: 'batch';
	readonly hardState?: HardState | undefined;
	/** Each replaces the entries of its index and after. */
	readonly entries: readonly LogEntry[];
};

/** Says that the next segment is on the disk. */
export type SealRecord = {readonly type: 'seal'};

export type SegmentRecord = SegmentHeader | BatchRecord | SealRecord;

export const formatVersion = 1;
