/** The settings of a replica; all times are milliseconds on the monotonic clock. */
export type ReplicaOptions = {
	/** The shortest time without a leader after which a follower asks for votes; votes are refused for as long after hearing from a leader. Default 1,000 ms. */
	readonly minimumElectionTimeout?: number;
	/** The longest such time; a leader that reached no quorum for as long steps down. Default 2,000 ms. */
	readonly maximumElectionTimeout?: number;
	/** The time between two heartbeat rounds. Default 200 ms. */
	readonly heartbeatInterval?: number;
	/** How far two clocks may drift apart within the minimum election timeout; the lease ends earlier by it. Default 100 ms. */
	readonly driftMargin?: number;
	/** The payload bytes of one append request; an entry that is larger goes alone. Default 65,536 bytes. */
	readonly maximumAppendBytes?: number;
	/** The append requests that may be unanswered for each follower. Default 4. */
	readonly maximumInFlight?: number;
	/** The entries kept in the log before a snapshot's last index, for followers that are a little behind. Default 1,000. */
	readonly tailEntries?: number;
};

/** The settings that hold where none is given. */
export const defaultReplicaOptions: Required<ReplicaOptions> = {
	minimumElectionTimeout: 1000,
	maximumElectionTimeout: 2000,
	heartbeatInterval: 200,
	driftMargin: 100,
	maximumAppendBytes: 65_536,
	maximumInFlight: 4,
	tailEntries: 1000,
};
