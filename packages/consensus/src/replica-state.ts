import {
	type HardState, type LogEntry, type ReplicaSet, type Snapshot,
} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaOptions} from './replica-options.js';

/** The part of the log that is in memory: the entries after the base, and the newest snapshot. */
export type ReplicaLog = {
	/** The index before the first entry; 0 for a log that was never compacted. */
	readonly baseIndex: number;
	readonly baseTerm: number;
	/** The replica set in effect at the base, or undefined if unknown. */
	readonly baseReplicas: ReplicaSet | undefined;
	readonly entries: readonly LogEntry[];
	readonly snapshot: Snapshot | undefined;
};

/** The replication progress of another replica, tracked by a leader. */
export type FollowerProgress = {
	/** The last index known to be on the follower's disk. */
	readonly matchIndex: number;
	/** The index of the next entry to send. */
	readonly nextIndex: number;
	/** The number of append requests without a reply. */
	readonly inFlight: number;
	/** When the newest round that the follower acknowledged was sent, in milliseconds of the leader's clock. */
	readonly ackedRoundSentAt: number | undefined;
	/** Whether the match index advanced since the last round started. */
	readonly isActive: boolean;
	/** When the unacknowledged snapshot was sent; undefined if there is none. */
	readonly snapshotSentAt: number | undefined;
};

/** A heartbeat round. */
export type HeartbeatRound = {
	readonly round: number;
	/** When the round was sent, in milliseconds of the leader's clock. */
	readonly sentAt: number;
};

/** The state of a leader. */
export type LeaderRole = {
	readonly type: 'leader';
	/** When the replica became the leader, in milliseconds. */
	readonly since: number;
	/** How long the candidate waited for votes, in milliseconds. Followers may need as long to persist entries. */
	readonly electionMilliseconds: number;
	/** The index of the empty entry that started the term. */
	readonly termStartIndex: number;
	readonly progress: ReadonlyMap<ReplicaId, FollowerProgress>;
	/** The rounds within the quorum timeout, oldest first. The last one is the current round. */
	readonly rounds: readonly HeartbeatRound[];
	/** The commit index at the start of the current round. */
	readonly roundCommitIndex: number;
};

/** The role of a replica. */
export type ReplicaRole
	= | {readonly type: 'follower'}
		| {readonly type: 'pre-candidate'; readonly votes: ReadonlySet<ReplicaId>}
		| {readonly type: 'candidate'; readonly votes: ReadonlySet<ReplicaId>; readonly since: number}
		| LeaderRole;

/** The state of a replica. It is immutable; a step returns a new one. */
export type ReplicaState = {
	readonly id: ReplicaId;
	readonly options: Required<ReplicaOptions>;
	readonly hardState: HardState;
	readonly log: ReplicaLog;
	/** The last index known to be committed. All entries up to it were emitted for application. */
	readonly commitIndex: number;
	/** The newest replica set in the log, committed or not; undefined on a new replica. */
	readonly replicas: ReplicaSet | undefined;
	/** The index of the entry with the replica set in effect, or the base index if the log has no such entry. */
	readonly replicaSetIndex: number;
	readonly role: ReplicaRole;
	readonly leader: ReplicaId | undefined;
	/** The last contact with a leader, possibly by a previous run of the replica, in milliseconds. */
	readonly lastContact: number;
	/** When the replica starts an election unless it has contact with a leader before, in milliseconds. */
	readonly electionDeadline: number;
	/** The number of failed elections since the last contact with a leader. */
	readonly failedElections: number;
	/** The recent time the replica's disk needs to persist a step, in milliseconds. */
	readonly persistMilliseconds: number;
	/** The state of the random number generator for election timeouts. */
	readonly randomState: number;
};
