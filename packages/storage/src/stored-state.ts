import {type HardState, type LogEntry, type Snapshot} from '@valehitch/consensus';

/** What a data folder holds when it is opened. */
export type StoredState = {
	/** The identity of the folder; made anew for an empty one. */
	readonly identity: string;
	/** Whether the folder was empty. */
	readonly isNew: boolean;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** The entries after the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};
