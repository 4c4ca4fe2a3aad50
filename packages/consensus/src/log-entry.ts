import {type ReplicaId} from './replica-id.js';

/** The replicas that vote, and those that only learn. */
export type ReplicaSet = {
	readonly voters: readonly ReplicaId[];
	readonly learners: readonly ReplicaId[];
};

/** What an entry of the log holds: a command of the state machine, a change of the replica set, or nothing (a new leader's first entry). */
export type EntryPayload
	= | {readonly type: 'command'; readonly data: Uint8Array}
		| {readonly type: 'replica-set'; readonly replicas: ReplicaSet}
		| {readonly type: 'empty'};

/** One entry of the replicated log. */
export type LogEntry = {
	/** Counts from 1 without gaps. */
	readonly index: number;
	readonly term: number;
	readonly payload: EntryPayload;
};

/** What must be on disk before a vote or an acknowledgement leaves the replica. */
export type HardState = {
	readonly term: number;
	/** Whom the replica voted for in the term. */
	readonly votedFor?: ReplicaId | undefined;
};

/** The state machine at one index, and what the log needs to go on from there. */
export type Snapshot = {
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly replicas: ReplicaSet;
	readonly data: Uint8Array;
};
