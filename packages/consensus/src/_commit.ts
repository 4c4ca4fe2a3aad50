import {becomeFollower, type Draft} from './_draft.js';
import {entriesBetween, lastIndexOf, termAt} from './_log.js';
import {isVoter, quorumValue} from './_quorum.js';

/** Advances the commit index and emits the newly committed entries for application. */
export function commitUpTo({state, committed}: Draft, index: number): void {
	if (index <= state.commitIndex) {
		return;
	}

	for (const entry of entriesBetween(state.log, state.commitIndex + 1, index)) {
		committed.push(entry);
	}

	state.commitIndex = index;
}

/** Commits the entries that a quorum holds, if the last of them is of the leader's current term (Ongaro and Ousterhout, 2014, section 5.4.2). */
export function commitReplicatedEntries(draft: Draft): void {
	const {state} = draft;
	const {role} = state;
	if (role.type !== 'leader') {
		return;
	}

	const index = quorumValue(state, voter =>
		voter === state.id ? lastIndexOf(state.log) : role.progress.get(voter)?.matchIndex ?? 0);
	if (index <= state.commitIndex || termAt(state.log, index) !== state.hardState.term) {
		return;
	}

	commitUpTo(draft, index);
	if (state.replicaSetIndex <= state.commitIndex && !isVoter(state)) {
		becomeFollower(draft, state.hardState.term);
	}
}
