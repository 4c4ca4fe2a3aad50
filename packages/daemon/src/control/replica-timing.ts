import {type ReplicaOptions} from '@valehitch/consensus';

/**
The times of the replicas between instances, in milliseconds; rarer heartbeats than the defaults, for the bound on the traffic of
the leader.

A lease of 1,800 ms holds three heartbeat rounds. After the loss of a leader the next one leads within about 4 s; with the wait for
one configuration lease of 5 s a change is still in force within 13 s.
*/
export const replicaTiming = {
	minimumElectionTimeout: 2000,
	maximumElectionTimeout: 4000,
	heartbeatInterval: 500,
	/** A tenth of the minimum election timeout: clocks may differ in rate by about 5 % each way. */
	driftMargin: 200,
} as const satisfies ReplicaOptions;
