import {type ReplicaOptions} from '@valehitch/consensus';

/**
The timing of the control replicas, in milliseconds. Heartbeats are less frequent than by default, to limit the traffic of the
leader.

A leader lease lasts 1,800 ms, which covers three heartbeat rounds. After the loss of a leader, the next one leads within about 4 s.
Even with the wait for a configuration lease of 5 s, a change is then in force within 13 s.
*/
export const replicaTiming = {
	minimumElectionTimeout: 2000,
	maximumElectionTimeout: 4000,
	heartbeatInterval: 500,
	/** A tenth of the minimum election timeout, which tolerates clock rates that deviate by about 5 % in either direction. */
	driftMargin: 200,
} as const satisfies ReplicaOptions;
