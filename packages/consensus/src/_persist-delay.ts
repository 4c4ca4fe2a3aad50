import {type Draft} from './_draft.js';
import {type LeaderRole, type ReplicaState} from './replica-state.js';

/** The number of sequential disk writes of an election: the candidate's vote, a voter's vote, the leader's first entry, and its copy on a follower. */
const persistsPerElection = 4;
/** The upper limit of the persist time in timeouts, in milliseconds, so that one long disk pause does not delay the next election as much. If all disks are slower, candidates still succeed because their timeouts double. */
const maximumPersistMilliseconds = 500;

/** Returns the time to add to election timeouts for the disk writes of an election, in milliseconds. */
export function electionPersistDelay({persistMilliseconds}: Pick<ReplicaState, 'persistMilliseconds'>): number {
	return persistsPerElection * Math.min(persistMilliseconds, maximumPersistMilliseconds);
}

/** Returns the time without contact to a quorum after which a leader steps down, in milliseconds. It includes the duration of the leader's election, since the followers' disks may be slower than its own. */
export function quorumTimeout({persistMilliseconds, options}: Pick<ReplicaState, 'persistMilliseconds' | 'options'>, {electionMilliseconds}: LeaderRole): number {
	return options.maximumElectionTimeout + electionPersistDelay({persistMilliseconds: Math.max(persistMilliseconds, electionMilliseconds)});
}

/** Records the persist time of the disk, and extends the current election deadline if the time increased. */
export function recordPersistTime({state}: Pick<Draft, 'state'>, persistMilliseconds: number): void {
	const previousDelay = electionPersistDelay(state);
	state.persistMilliseconds = persistMilliseconds;
	state.electionDeadline += Math.max(0, electionPersistDelay(state) - previousDelay);
}
