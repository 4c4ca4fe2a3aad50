import {type ReplicaId} from './replica-id.js';
import {type LeaderRole, type ReplicaState} from './replica-state.js';

/** The voters in force; none on a fresh replica. */
export function votersOf({replicas}: ReplicaState): readonly ReplicaId[] {
	return replicas?.voters ?? [];
}

/** All other replicas in force, learners included. */
export function peersOf({id, replicas}: ReplicaState): readonly ReplicaId[] {
	const all = [...replicas?.voters ?? [], ...replicas?.learners ?? []];
	return all.filter(replica => replica !== id);
}

/** Whether the replica may vote and lead by its own log. */
export function isVoter(state: ReplicaState): boolean {
	return votersOf(state).includes(state.id);
}

/** Whether a set of replicas holds more than half of the voters. */
export function isQuorum(state: ReplicaState, replicas: ReadonlySet<ReplicaId>): boolean {
	const voters = votersOf(state);
	const count = voters.filter(voter => replicas.has(voter)).length;
	return count >= quorumSize(voters.length);
}

/** The highest value that more than half of the voters have reached. */
export function quorumValue(state: ReplicaState, valueOf: (voter: ReplicaId) => number): number {
	const voters = votersOf(state);
	const values = voters.map(voter => valueOf(voter));
	values.sort((left, right) => right - left);
	return values[quorumSize(voters.length) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** When the newest round that a quorum answered was sent, in milliseconds; `own` stands for the leader itself. */
export function quorumContact(state: ReplicaState, role: LeaderRole, own: number): number {
	return quorumValue(state, voter =>
		voter === state.id ? own : role.progress.get(voter)?.ackedAt ?? Number.NEGATIVE_INFINITY);
}

function quorumSize(count: number): number {
	return Math.floor(count / 2) + 1;
}
