import {type HardState, type LogEntry, type Snapshot} from '@valehitch/consensus';

/** The state read from a data folder when it is opened. */
export type StoredState = {
	/** The identity of the folder; generated if the folder was empty. */
	readonly identity: string;
	/** Whether the folder had no identity yet. */
	readonly isNew: boolean;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** The contiguous log entries that follow the snapshot. */
	readonly entries: readonly LogEntry[];
};
