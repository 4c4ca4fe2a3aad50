import {type ReplicaId} from './replica-id.js';
import {type LeaderRole, type ReplicaState} from './replica-state.js';

/** Returns the voters in effect; none on a new replica. */
export function votersOf({replicas}: ReplicaState): readonly ReplicaId[] {
	return replicas?.voters ?? [];
}

/** Returns all other replicas in effect, including learners. */
export function peersOf({id, replicas}: ReplicaState): readonly ReplicaId[] {
	const all = [...replicas?.voters ?? [], ...replicas?.learners ?? []];
	return all.filter(replica => replica !== id);
}

/** Returns whether the replica is a voter according to its own log. */
export function isVoter(state: ReplicaState): boolean {
	return votersOf(state).includes(state.id);
}

/** Returns whether a set of replicas contains more than half of the voters. */
export function isQuorum(state: ReplicaState, replicas: ReadonlySet<ReplicaId>): boolean {
	const voters = votersOf(state);
	const count = voters.filter(voter => replicas.has(voter)).length;
	return count >= quorumSize(voters.length);
}

/** Returns the highest value that more than half of the voters have reached. */
export function quorumValue(state: ReplicaState, valueOf: (voter: ReplicaId) => number): number {
	const voters = votersOf(state);
	const values = voters.map(voter => valueOf(voter));
	values.sort((left, right) => right - left);
	return values[quorumSize(voters.length) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** Returns when the newest round that a quorum has acknowledged was sent, in milliseconds. The leader counts with `ownTime`. */
export function quorumContact(state: ReplicaState, role: LeaderRole, ownTime: number): number {
	return quorumValue(state, voter =>
		voter === state.id ? ownTime : role.progress.get(voter)?.ackedRoundSentAt ?? Number.NEGATIVE_INFINITY);
}

function quorumSize(count: number): number {
	return Math.floor(count / 2) + 1;
}
