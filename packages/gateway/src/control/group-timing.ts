import {type ReplicaOptions} from '@valehitch/consensus';

/**
The times of the replicas, in milliseconds.

A leader is replaced within about 1.5 s, so that a change is still acknowledged within the 4 s that operators allow, and in force 2 s later.
*/
export const groupTiming = {
	minimumElectionTimeout: 700,
	maximumElectionTimeout: 1300,
	heartbeatInterval: 150,
	/** A tenth of the minimum election timeout: clocks may differ in rate by about 5 % each way. */
	driftMargin: 70,
	tailEntries: 100,
} as const satisfies ReplicaOptions;
