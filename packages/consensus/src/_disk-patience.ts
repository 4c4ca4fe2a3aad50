import {type Draft} from './_draft.js';
import {type LeaderRole, type ReplicaState} from './replica-state.js';

/** What an election writes one after the other: the candidate's vote, a voter's, the first entry of the leader, and a follower's copy of it. */
const persistsOfElection = 4;
/** The longest time of a disk that is counted, in milliseconds: after a single long pause the next leader must not be late. Where all disks are slower, the doubled waits of candidates help. */
const mostCountedMilliseconds = 500;

/** How much longer elections and leaders are waited for, since what they write takes time, in milliseconds. */
export function diskPatienceOf({persistMilliseconds}: Pick<ReplicaState, 'persistMilliseconds'>): number {
	return persistsOfElection * Math.min(persistMilliseconds, mostCountedMilliseconds);
}

/** How long a leader waits for the answers of its followers, whose disks may be slower than its own, in milliseconds. */
export function leaderTimeoutOf({persistMilliseconds, options}: Pick<ReplicaState, 'persistMilliseconds' | 'options'>, {electedIn}: Pick<LeaderRole, 'electedIn'>): number {
	return options.maximumElectionTimeout + diskPatienceOf({persistMilliseconds: Math.max(persistMilliseconds, electedIn)});
}

/** Notes how long the disk takes; an election that is waited for already is given the difference. */
export function notePersistTime({state}: Pick<Draft, 'state'>, persistMilliseconds: number): void {
	const before = diskPatienceOf(state);
	state.persistMilliseconds = persistMilliseconds;
	state.electionDeadline += Math.max(0, diskPatienceOf(state) - before);
}
