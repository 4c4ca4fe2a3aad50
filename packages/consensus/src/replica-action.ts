import {type HardState, type LogEntry, type Snapshot} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';

/**
The actions for the host after a step, in this order: all of `persist` must be synced before any of `messages` is sent or any of `committed` is acknowledged.
*/
export type ReplicaActions = {
	readonly persist: PersistAction | undefined;
	readonly messages: ReadonlyArray<{readonly to: ReplicaId; readonly message: ReplicaMessage}>;
	/** The entries to apply to the state machine, in order. */
	readonly committed: readonly LogEntry[];
	/** The snapshot to replace the state machine's state with, before `committed` is applied. */
	readonly restore: Snapshot | undefined;
	/** The proposals appended to the log. A proposal has succeeded when its index is applied with the same term. */
	readonly accepted: ReadonlyArray<{readonly proposalId: string; readonly index: number; readonly term: number}>;
	/** The proposals rejected because this replica is not the leader, and the changes of the replica set that are not allowed now. */
	readonly rejected: readonly string[];
};

/** The data to write to disk. */
export type PersistAction = {
	readonly hardState: HardState | undefined;
	/** The entries to append. If the log already contains the index of the first one, it must be truncated there first. */
	readonly entries: readonly LogEntry[];
	/** A snapshot that replaces the log up to its index. Trailing entries before it may be kept. */
	readonly snapshot: Snapshot | undefined;
	/** Whether the snapshot came from a leader, so that the whole stored log must be discarded, including the entries after the snapshot's index. */
	readonly discardsLog: boolean;
};
