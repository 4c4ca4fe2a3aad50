import {match} from 'ts-pattern';
import {commitByQuorum} from './_commit.js';
import {appendToLog, type Draft} from './_draft.js';
import {lastIndexOf} from './_log.js';
import {newProgress, sendEntries} from './_replication.js';
import {type ReplicaSet} from './log-entry.js';
import {type ReplicaChange} from './replica-event.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** Whether a leader may take a change now: none is in progress, and an entry of its own term is committed (Ongaro, 2015, on single-server changes). */
export function mayChangeReplicas({role, commitIndex, replicasIndex}: ReplicaState): boolean {
	return role.type === 'leader' && commitIndex >= role.termStartIndex && replicasIndex <= commitIndex;
}

/** Whether a replica holds all that was committed when the current round began, and the leader's first entry. */
export function isCaughtUp({role}: ReplicaState, replica: ReplicaId): boolean {
	if (role.type !== 'leader') {
		return false;
	}

	const matchIndex = role.progress.get(replica)?.matchIndex ?? 0;
	return matchIndex >= Math.max(role.roundCommitIndex, role.termStartIndex);
}

/** Appends a change of the replica set, or rejects it where it may not be made now. */
export function changeReplicas(draft: Draft, change: ReplicaChange, proposalId: string | undefined): void {
	const {state} = draft;
	const replicas = mayChangeReplicas(state) ? changed(state, change) : undefined;
	if (!replicas || state.role.type !== 'leader') {
		if (proposalId !== undefined) {
			draft.rejected.push(proposalId);
		}

		return;
	}

	const entry = {index: lastIndexOf(state.log) + 1, term: state.hardState.term, payload: {type: 'replica-set', replicas}} as const;
	appendToLog(draft, [entry]);
	state.role = {...state.role, progress: newProgress(state, state.role.progress)};
	sendEntries(draft);
	commitByQuorum(draft);
	if (proposalId !== undefined) {
		draft.accepted.push({proposalId, index: entry.index, term: entry.term});
	}
}

function changed(state: ReplicaState, change: ReplicaChange): ReplicaSet | undefined {
	const {voters, learners} = state.replicas ?? {voters: [], learners: []};
	const {replica} = change;
	const isVoting = voters.includes(replica);
	const isLearning = learners.includes(replica);
	return match(change)
		.with({type: 'add-learner'}, () =>
			isVoting || isLearning ? undefined : {voters, learners: [...learners, replica]})
		.with({type: 'promote'}, () =>
			isLearning && isCaughtUp(state, replica)
				? {voters: [...voters, replica], learners: learners.filter(learner => learner !== replica)}
				: undefined)
		.with({type: 'remove'}, () =>
			isLearning || (isVoting && voters.length > 1)
				? {voters: voters.filter(voter => voter !== replica), learners: learners.filter(learner => learner !== replica)}
				: undefined)
		.exhaustive();
}
