import {type ReplicaOptions} from '@valehitch/consensus';

/**
The times of the replicas, in milliseconds.

A leader is replaced within about a second, and a group that was killed as a whole leads again about a tenth of a second after it opened its data; instances without a disk cannot route before that. A single lost packet costs a follower 200 ms, and a pre-vote needs a quorum that heard nothing.
*/
export const groupTiming = {
	minimumElectionTimeout: 300,
	maximumElectionTimeout: 600,
	heartbeatInterval: 75,
	/** A tenth of the minimum election timeout: clocks may differ in rate by about 5 % each way. */
	driftMargin: 30,
	tailEntries: 100,
} as const satisfies ReplicaOptions;
