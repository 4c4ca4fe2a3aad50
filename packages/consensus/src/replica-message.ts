import {type LogEntry, type Snapshot} from './log-entry.js';

/** Asks whether an election could be won, without raising the term (pre-vote), or asks for the vote. */
export type VoteRequest = {
	readonly type: 'vote-request';
	readonly term: number;
	readonly isPreVote: boolean;
	readonly lastIndex: number;
	readonly lastTerm: number;
};

/** Answers a vote request. */
export type VoteReply = {
	readonly type: 'vote-reply';
	readonly term: number;
	readonly isPreVote: boolean;
	readonly granted: boolean;
};

/** Hands entries to a follower; without entries it is a heartbeat. */
export type AppendRequest = {
	readonly type: 'append-request';
	readonly term: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
	/** Numbers the leader's heartbeat rounds; the reply repeats it, and the leader's lease runs from when the round was sent. */
	readonly round: number;
};

/** Answers an append request. */
export type AppendReply = {
	readonly type: 'append-reply';
	readonly term: number;
	readonly success: boolean;
	/** On success the last index known to match; else a hint where to go on. */
	readonly matchIndex: number;
	readonly round: number;
};

/** Hands a snapshot to a follower whose entries are no longer in the log. */
export type SnapshotRequest = {
	readonly type: 'snapshot-request';
	readonly term: number;
	readonly snapshot: Snapshot;
	readonly round: number;
};

/** The closed list of messages between replicas. */
export type ReplicaMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest;
