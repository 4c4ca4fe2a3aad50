import {type Snapshot} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaMessage} from './replica-message.js';

/** What can happen to a replica. */
export type ReplicaEvent
	/** Time has passed; `persistMilliseconds` tells how long the disk of this replica took of late to keep what a step asked for, 0 by default. */
	= | {readonly type: 'tick'; readonly persistMilliseconds?: number}
		| {readonly type: 'message'; readonly from: ReplicaId; readonly message: ReplicaMessage}
	/** Commands to put into the log in this order; `proposalId` comes back with the outcome. */
		| {readonly type: 'propose'; readonly proposals: ReadonlyArray<{readonly proposalId: string; readonly data: Uint8Array}>}
	/** Adds or removes one replica, or turns a learner into a voter; `proposalId`, where given, comes back with the outcome. */
		| {readonly type: 'change-replicas'; readonly change: ReplicaChange; readonly proposalId?: string}
	/** Gives a replica that knows of no group the snapshot at index 0 that its group begins with; changes nothing on any other. */
		| {readonly type: 'begin-group'; readonly initial: Snapshot}
	/** The host took a snapshot of the state machine at `lastIndex`; the log may be cut up to there. */
		| {readonly type: 'snapshot-taken'; readonly lastIndex: number; readonly data: Uint8Array};

/** One change of the replica set; only one is in progress at a time. */
export type ReplicaChange
	= | {readonly type: 'add-learner'; readonly replica: ReplicaId}
		| {readonly type: 'promote'; readonly replica: ReplicaId}
		| {readonly type: 'remove'; readonly replica: ReplicaId};
