import {type HardState, type LogEntry, type Snapshot} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';

/**
What the host must do after a step, in this order: all of `persist` is synced before any of `messages` is sent or any of `committed` is acknowledged.
*/
export type ReplicaActions = {
	readonly persist: PersistAction | undefined;
	readonly messages: ReadonlyArray<{readonly to: ReplicaId; readonly message: ReplicaMessage}>;
	/** Entries to apply to the state machine, in order. */
	readonly committed: readonly LogEntry[];
	/** Replaces the state machine's state, before `committed` is applied. */
	readonly restore: Snapshot | undefined;
	/** Proposals that were taken into the log, with their index; they are done when that index is applied with the same term. */
	readonly accepted: ReadonlyArray<{readonly proposalId: string; readonly index: number; readonly term: number}>;
	/** Proposals that this replica cannot take, since it does not lead, and changes of the replica set that cannot be made now. */
	readonly rejected: readonly string[];
};

/** What must be on disk. */
export type PersistAction = {
	readonly hardState: HardState | undefined;
	/** Entries to append; where the first one's index is in the log already, the log is cut there first. */
	readonly entries: readonly LogEntry[];
	/** A snapshot that replaces the log up to its index; entries before it may be kept as a tail. */
	readonly snapshot: Snapshot | undefined;
	/** Whether the snapshot came from a leader: the whole log on disk is then discarded, also the entries after the snapshot's index. */
	readonly discardsLog: boolean;
};
