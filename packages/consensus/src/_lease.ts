import {leaderTimeoutOf} from './_disk-patience.js';
import {becomeFollower, type Draft} from './_draft.js';
import {quorumContact} from './_quorum.js';
import {type HeartbeatRound, type LeaderRole, type ReplicaState} from './replica-state.js';

/** When the lease of a leader ends, in milliseconds; minus infinity where no round was answered by a quorum. */
export function leaseEndOf(state: ReplicaState, role: LeaderRole): number {
	return leaseBeginOf(state, role) + state.options.minimumElectionTimeout - state.options.driftMargin;
}

/** When the newest round was sent that a quorum has answered, in milliseconds; minus infinity where there was none. */
export function leaseBeginOf(state: ReplicaState, role: LeaderRole): number {
	return quorumContact(state, role, currentRound(role).sentAt);
}

/** The current heartbeat round of a leader. */
export function currentRound({rounds}: LeaderRole): HeartbeatRound {
	return rounds.at(-1)!;
}

/** Opens a heartbeat round; rounds that are too old to matter are forgotten. */
export function openRound({state, now}: Draft, role: LeaderRole): LeaderRole {
	const oldest = now - leaderTimeoutOf(state, role);
	const rounds = role.rounds.filter(({sentAt}) => sentAt > oldest);
	const round = currentRound(role).round + 1;
	return {...role, rounds: [...rounds, {round, sentAt: now}], roundCommitIndex: state.commitIndex};
}

/**
Whether the replica has promised a leader not to vote: it heard from one within the minimum election timeout, or started within it and may have promised before, or holds the lease itself.
*/
export function isBoundByLease({state, now}: Draft): boolean {
	if (state.role.type === 'leader') {
		return now < leaseEndOf(state, state.role);
	}

	return now < state.lastContact + state.options.minimumElectionTimeout;
}

/** Makes a leader step down that reached no quorum for the maximum election timeout. */
export function stepDownWithoutQuorum(draft: Draft): void {
	const {state, now} = draft;
	const {role} = state;
	if (role.type !== 'leader') {
		return;
	}

	const contact = Math.max(role.since, quorumContact(state, role, now));
	if (now - contact >= leaderTimeoutOf(state, role)) {
		becomeFollower(draft, state.hardState.term);
	}
}
