import {
	type HardState, type LogEntry, type ReplicaSet, type Snapshot,
} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaOptions} from './replica-options.js';

/** The part of the log that is in memory: the entries after the base, and the newest snapshot. */
export type ReplicaLog = {
	/** The index before the first entry; 0 for a log that was never cut. */
	readonly baseIndex: number;
	readonly baseTerm: number;
	/** The replica set in force at the base, or undefined where it is not known. */
	readonly baseReplicas: ReplicaSet | undefined;
	readonly entries: readonly LogEntry[];
	readonly snapshot: Snapshot | undefined;
};

/** What a leader knows of one other replica. */
export type FollowerProgress = {
	/** The last index known to be on the follower's disk. */
	readonly matchIndex: number;
	/** The index of the next entry to send. */
	readonly nextIndex: number;
	/** Append requests that are not answered. */
	readonly inFlight: number;
	/** When the newest round that the follower answered was sent, in milliseconds on the leader's clock. */
	readonly ackedAt: number | undefined;
	/** Whether an append was answered since the last round began. */
	readonly isActive: boolean;
	/** When a snapshot was sent that is not answered. */
	readonly snapshotSentAt: number | undefined;
};

/** One heartbeat round. */
export type HeartbeatRound = {
	readonly round: number;
	/** When the round was sent, in milliseconds on the leader's clock. */
	readonly sentAt: number;
};

/** What only a leader holds. */
export type LeaderRole = {
	readonly type: 'leader';
	/** When the replica became the leader, in milliseconds. */
	readonly since: number;
	/** How long its election waited for votes, in milliseconds: its followers take as long to keep entries. */
	readonly electedIn: number;
	/** The index of the empty entry that opened the term. */
	readonly termStartIndex: number;
	readonly progress: ReadonlyMap<ReplicaId, FollowerProgress>;
	/** The rounds that still count, oldest first; the last one is current. */
	readonly rounds: readonly HeartbeatRound[];
	/** The commit index when the current round began. */
	readonly roundCommitIndex: number;
};

/** What a replica is at the moment. */
export type ReplicaRole
	= | {readonly type: 'follower'}
		| {readonly type: 'pre-candidate'; readonly votes: ReadonlySet<ReplicaId>}
		| {readonly type: 'candidate'; readonly votes: ReadonlySet<ReplicaId>; readonly since: number}
		| LeaderRole;

/** The whole state of a replica; a step never changes it but gives a new one. */
export type ReplicaState = {
	readonly id: ReplicaId;
	readonly options: Required<ReplicaOptions>;
	readonly hardState: HardState;
	readonly log: ReplicaLog;
	/** The last index known to be committed; all up to it was handed out to be applied. */
	readonly commitIndex: number;
	/** The newest replica set in the log, committed or not; undefined on a fresh replica. */
	readonly replicas: ReplicaSet | undefined;
	/** The index of the entry with the replica set in force; 0 for the initial set. */
	readonly replicasIndex: number;
	readonly role: ReplicaRole;
	readonly leader: ReplicaId | undefined;
	/** When the replica last heard from a leader, or a former run of it can have, in milliseconds. */
	readonly lastContact: number;
	/** When the replica asks for votes unless it hears from a leader before, in milliseconds. */
	readonly electionDeadline: number;
	/** How often the replica asked for votes in vain since it last heard from a leader. */
	readonly failedElections: number;
	/** How long the disk of the replica took of late to keep what a step asked for, in milliseconds. */
	readonly persistMilliseconds: number;
	/** The state of the random source for election timeouts. */
	readonly randomState: number;
};
