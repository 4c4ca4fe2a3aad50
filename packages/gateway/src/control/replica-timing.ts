import {type ReplicaOptions} from '@valehitch/consensus';

/**
Timing of the replicas, in milliseconds.

With these values a failed leader is replaced within about one second. A group whose instances were all killed has a leader about 100 ms after it has opened its data, and instances without a disk cannot route before then. The election timeout tolerates a single lost packet, which delays a follower by 200 ms; a pre-vote also succeeds only if a quorum has not heard from a leader.
*/
export const replicaTiming = {
	minimumElectionTimeout: 300,
	maximumElectionTimeout: 600,
	heartbeatInterval: 75,
	/** A tenth of the minimum election timeout, which allows clock rates to differ by about 5 % in either direction. */
	driftMargin: 30,
	trailingEntries: 100,
} as const satisfies ReplicaOptions;
