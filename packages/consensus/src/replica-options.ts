/** The options of a replica. All times are milliseconds of the monotonic clock. */
export type ReplicaOptions = {
	/** The minimum election timeout of a follower. Votes are refused for the same time after contact with a leader. Default 1,000 ms. */
	readonly minimumElectionTimeout?: number;
	/** The maximum election timeout. A leader without contact to a quorum for this time steps down. Default 2,000 ms. */
	readonly maximumElectionTimeout?: number;
	/** The interval between heartbeat rounds. Default 200 ms. */
	readonly heartbeatInterval?: number;
	/** The maximum drift between two clocks within the minimum election timeout, by which leases are shortened. Default 100 ms. */
	readonly driftMargin?: number;
	/** The maximum payload size of an append request. A larger entry is sent alone. Default 65,536 bytes. */
	readonly maximumAppendBytes?: number;
	/** The maximum number of append requests in flight per follower. Default 4. */
	readonly maximumInFlight?: number;
	/** The number of entries kept in the log up to a snapshot's last index, for followers that are slightly behind. Default 1,000. */
	readonly trailingEntries?: number;
};

/** The default options of a replica. */
export const defaultReplicaOptions: Required<ReplicaOptions> = {
	minimumElectionTimeout: 1000,
	maximumElectionTimeout: 2000,
	heartbeatInterval: 200,
	driftMargin: 100,
	maximumAppendBytes: 65_536,
	maximumInFlight: 4,
	trailingEntries: 1000,
};
