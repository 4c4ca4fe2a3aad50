import {match} from 'ts-pattern';
import {commitReplicatedEntries} from './_commit.js';
import {appendToLog, type Draft} from './_draft.js';
import {lastIndexOf} from './_log.js';
import {createProgress, sendEntries} from './_replication.js';
import {type ReplicaSet} from './log-entry.js';
import {type ReplicaChange} from './replica-event.js';
import {type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** Returns whether a leader may start a change: no change is in progress, and an entry of its current term is committed (Ongaro, 2015, on single-server changes). */
export function canChangeReplicas({role, commitIndex, replicaSetIndex}: ReplicaState): boolean {
	return role.type === 'leader' && commitIndex >= role.termStartIndex && replicaSetIndex <= commitIndex;
}

/** Returns whether a replica has all entries that were committed when the current round started, and the leader's first entry. */
export function isCaughtUp({role}: ReplicaState, replica: ReplicaId): boolean {
	if (role.type !== 'leader') {
		return false;
	}

	const matchIndex = role.progress.get(replica)?.matchIndex ?? 0;
	return matchIndex >= Math.max(role.roundCommitIndex, role.termStartIndex);
}

/** Appends a change of the replica set to the log, or rejects it if it is not allowed now. */
export function changeReplicas(draft: Draft, change: ReplicaChange, proposalId: string | undefined): void {
	const {state} = draft;
	const replicas = canChangeReplicas(state) ? applyChange(state, change) : undefined;
	if (!replicas || state.role.type !== 'leader') {
		if (proposalId !== undefined) {
			draft.rejected.push(proposalId);
		}

		return;
	}

	const entry = {index: lastIndexOf(state.log) + 1, term: state.hardState.term, payload: {type: 'replica-set', replicas}} as const;
	appendToLog(draft, [entry]);
	state.role = {...state.role, progress: createProgress(state, state.role.progress)};
	sendEntries(draft);
	commitReplicatedEntries(draft);
	if (proposalId !== undefined) {
		draft.accepted.push({proposalId, index: entry.index, term: entry.term});
	}
}

function applyChange(state: ReplicaState, change: ReplicaChange): ReplicaSet | undefined {
	const {voters, learners} = state.replicas ?? {voters: [], learners: []};
	const {replica} = change;
	const isVoter = voters.includes(replica);
	const isLearner = learners.includes(replica);
	return match(change)
		.with({type: 'add-learner'}, () =>
			isVoter || isLearner ? undefined : {voters, learners: [...learners, replica]})
		.with({type: 'promote'}, () =>
			isLearner && isCaughtUp(state, replica)
				? {voters: [...voters, replica], learners: learners.filter(learner => learner !== replica)}
				: undefined)
		.with({type: 'remove'}, () =>
			isLearner || (isVoter && voters.length > 1)
				? {voters: voters.filter(voter => voter !== replica), learners: learners.filter(learner => learner !== replica)}
				: undefined)
		.exhaustive();
}
