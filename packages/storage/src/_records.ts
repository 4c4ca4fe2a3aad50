import {type HardState, type LogEntry} from '@valehitch/consensus';

/** The first record of a segment. */
export type SegmentHeader = {
	readonly type: 'header';
	readonly version: number;
	readonly sequence: number;
	/** The identity of the folder that the segment belongs to. */
	readonly identity: string;
	readonly hardState: HardState;
	/** The index of the last log entry before the segment. */
	readonly previousIndex: number;
	/** False if a snapshot replaced the content of all earlier segments. */
	readonly keepsEarlier: boolean;
};

/** A batch of changes that is written and synced together. */
export type BatchRecord = {
	readonly type: 'batch';
	readonly hardState?: HardState | undefined;
	/** Each entry replaces any existing entries at its index and after it. */
	readonly entries: readonly LogEntry[];
};

/** The last record of a segment; written once the next segment is durable. */
export type SealRecord = {readonly type: 'seal'};

export type SegmentRecord = SegmentHeader | BatchRecord | SealRecord;

export const formatVersion = 1;
