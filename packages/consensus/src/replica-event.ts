import {type Snapshot} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';

/** An event of a replica. */
export type ReplicaEvent
	/** Time has passed. `persistMilliseconds` is the recent time this replica's disk needs to persist a step. Default 0. */
	= | {readonly type: 'tick'; readonly persistMilliseconds?: number}
		| {readonly type: 'message'; readonly from: ReplicaId; readonly message: ReplicaMessage}
	/** Proposes commands, in this order. The actions report the outcome by `proposalId`. */
		| {readonly type: 'propose'; readonly proposals: ReadonlyArray<{readonly proposalId: string; readonly data: Uint8Array}>}
	/** Proposes a change of the replica set. If `proposalId` is given, the actions report the outcome by it. */
		| {readonly type: 'change-replicas'; readonly change: ReplicaChange; readonly proposalId?: string}
	/** Provides the initial snapshot at index 0 to a replica without a replica set. Has no effect on other replicas. */
		| {readonly type: 'begin-group'; readonly initial: Snapshot}
	/** The host took a snapshot of the state machine at `lastIndex`, so the log may be compacted up to there. */
		| {readonly type: 'snapshot-taken'; readonly lastIndex: number; readonly data: Uint8Array};

/** A change of the replica set. Only one can be in progress at a time. */
export type ReplicaChange
	= | {readonly type: 'add-learner'; readonly replica: ReplicaId}
		| {readonly type: 'promote'; readonly replica: ReplicaId}
		| {readonly type: 'remove'; readonly replica: ReplicaId};
