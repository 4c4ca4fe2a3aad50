import {type ReplicaOptions} from '@valehitch/consensus';

/**
The times of the replicas, in milliseconds.

A leader is replaced within about a second, and a group that was killed as a whole leads again a second after it started; instances without a disk cannot route before that.
*/
export const groupTiming = {
	minimumElectionTimeout: 450,
	maximumElectionTimeout: 900,
	heartbeatInterval: 100,
	/** A tenth of the minimum election timeout: clocks may differ in rate by about 5 % each way. */
	driftMargin: 45,
	tailEntries: 100,
} as const satisfies ReplicaOptions;
