import {quorumTimeout} from './_persist-delay.js';
import {becomeFollower, type Draft} from './_draft.js';
import {quorumContact} from './_quorum.js';
import {type HeartbeatRound, type LeaderRole, type ReplicaState} from './replica-state.js';

/** Returns when the lease of a leader ends, in milliseconds; minus infinity if no round was acknowledged by a quorum. */
export function leaseEnd(state: ReplicaState, role: LeaderRole): number {
	return leaseStart(state, role) + state.options.minimumElectionTimeout - state.options.driftMargin;
}

/** Returns when the newest round that a quorum has acknowledged was sent, in milliseconds; minus infinity if there is none. */
export function leaseStart(state: ReplicaState, role: LeaderRole): number {
	return quorumContact(state, role, currentRound(role).sentAt);
}

/** Returns the current heartbeat round of a leader. */
export function currentRound({rounds}: LeaderRole): HeartbeatRound {
	return rounds.at(-1)!;
}

/** Starts a heartbeat round, and drops rounds older than the quorum timeout. */
export function startRound({state, now}: Draft, role: LeaderRole): LeaderRole {
	const oldest = now - quorumTimeout(state, role);
	const rounds = role.rounds.filter(({sentAt}) => sentAt > oldest);
	const round = currentRound(role).round + 1;
	return {...role, rounds: [...rounds, {round, sentAt: now}], roundCommitIndex: state.commitIndex};
}

/**
Returns whether the replica must withhold its vote because of a leader's lease: it is a leader with a valid lease, or had contact with a leader within the minimum election timeout, possibly before a restart.
*/
export function isBoundByLease({state, now}: Draft): boolean {
	if (state.role.type === 'leader') {
		return now < leaseEnd(state, state.role);
	}

	return now < state.lastContact + state.options.minimumElectionTimeout;
}

/** Makes a leader step down if it had no contact to a quorum for the quorum timeout. */
export function stepDownWithoutQuorum(draft: Draft): void {
	const {state, now} = draft;
	const {role} = state;
	if (role.type !== 'leader') {
		return;
	}

	const contact = Math.max(role.since, quorumContact(state, role, now));
	if (now - contact >= quorumTimeout(state, role)) {
		becomeFollower(draft, state.hardState.term);
	}
}
