import {type LogEntry, type Snapshot} from './log-entry.js';

/** Requests a vote, or asks whether the vote would be granted without incrementing the term (pre-vote). */
export type VoteRequest = {
	readonly type: 'vote-request';
	readonly term: number;
	readonly isPreVote: boolean;
	readonly lastIndex: number;
	readonly lastTerm: number;
};

/** Replies to a vote request. */
export type VoteReply = {
	readonly type: 'vote-reply';
	readonly term: number;
	readonly isPreVote: boolean;
	readonly granted: boolean;
};

/** Sends entries to a follower. Without entries it is a heartbeat. */
export type AppendRequest = {
	readonly type: 'append-request';
	readonly term: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
	/** The number of the leader's heartbeat round, which the reply echoes. The leader's lease starts when the round was sent. */
	readonly round: number;
};

/** Replies to an append or snapshot request. */
export type AppendReply = {
	readonly type: 'append-reply';
	readonly term: number;
	readonly success: boolean;
	/** On success the last index known to match, otherwise a hint for the index to continue from. */
	readonly matchIndex: number;
	readonly round: number;
};

/** Sends a snapshot to a follower whose next entries are no longer in the log. */
export type SnapshotRequest = {
	readonly type: 'snapshot-request';
	readonly term: number;
	readonly snapshot: Snapshot;
	readonly round: number;
};

/** A message between replicas. */
export type ReplicaMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest;
