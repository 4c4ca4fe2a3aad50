import {type ReplicaId} from './replica-id.js';

/** The voting replicas, and the learners, which replicate the log without voting. */
export type ReplicaSet = {
	readonly voters: readonly ReplicaId[];
	readonly learners: readonly ReplicaId[];
};

/** The payload of a log entry: a command of the state machine, a new replica set, or nothing (the first entry of a new leader). */
export type EntryPayload
	= | {readonly type: 'command'; readonly data: Uint8Array}
		| {readonly type: 'replica-set'; readonly replicas: ReplicaSet}
		| {readonly type: 'empty'};

/** An entry of the replicated log. */
export type LogEntry = {
	/** Starts at 1 and has no gaps. */
	readonly index: number;
	readonly term: number;
	readonly payload: EntryPayload;
};

/** The state that must be on disk before the replica sends a vote or an acknowledgement. */
export type HardState = {
	readonly term: number;
	/** The candidate that the replica voted for in the term. */
	readonly votedFor?: ReplicaId | undefined;
};

/** A snapshot of the state machine at an index, and the data needed to continue the log from there. */
export type Snapshot = {
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly replicas: ReplicaSet;
	readonly data: Uint8Array;
};
