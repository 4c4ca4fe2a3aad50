import {commitUpTo} from './_commit.js';
import {
	appendToLog, becomeFollower, type Draft, resetElectionDeadline, send,
} from './_draft.js';
import {lastIndexOf, termAt} from './_log.js';
import {type LogEntry} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type AppendReply, type AppendRequest} from './replica-message.js';

/** Takes a leader's entries into the log, or says where they do not join. */
export function handleAppendRequest(draft: Draft, from: ReplicaId, request: AppendRequest): void {
	if (!followLeader(draft, from, request)) {
		return;
	}

	const {state} = draft;
	const {previousIndex, previousTerm, entries} = request;
	// What lies before the base is committed, so the leader holds the same.
	const isJoined = previousIndex < state.log.baseIndex || termAt(state.log, previousIndex) === previousTerm;
	if (!isJoined) {
		send(draft, from, appendReply(draft, {success: false, matchIndex: conflictHint(draft, previousIndex), round: request.round}));
		return;
	}

	appendToLog(draft, newEntries(draft, entries));
	const matchIndex = previousIndex + entries.length;
	commitUpTo(draft, Math.min(request.commitIndex, matchIndex));
	send(draft, from, appendReply(draft, {success: true, matchIndex, round: request.round}));
}

/** Takes the sender for the leader of its term; false, with an answer that says the newer term, where the term is over. */
export function followLeader(draft: Draft, from: ReplicaId, {term, round}: {readonly term: number; readonly round: number}): boolean {
	const {state, now} = draft;
	if (term < state.hardState.term) {
		send(draft, from, appendReply(draft, {success: false, matchIndex: 0, round}));
		return false;
	}

	becomeFollower(draft, term, from);
	state.lastContact = now;
	state.failedElections = 0;
	resetElectionDeadline(draft);
	return true;
}

/** An answer to an append or a snapshot request in the current term. */
export function appendReply({state}: Draft, answer: Pick<AppendReply, 'success' | 'matchIndex' | 'round'>): AppendReply {
	return {type: 'append-reply', term: state.hardState.term, ...answer};
}

function newEntries({state}: Draft, entries: readonly LogEntry[]): readonly LogEntry[] {
	const start = entries.findIndex(({index, term}) => index > state.log.baseIndex && termAt(state.log, index) !== term);
	const added = start === -1 ? [] : entries.slice(start);
	const [first] = added;
	if (first && first.index <= state.commitIndex) {
		throw new Error(`Got another entry of term ${first.term} at index ${first.index}, wanted none up to the commit index ${state.commitIndex}`);
	}

	return added;
}

/** The last index before the term that conflicts, so that one answer skips a whole term. */
function conflictHint({state}: Draft, previousIndex: number): number {
	const lastIndex = lastIndexOf(state.log);
	if (previousIndex > lastIndex) {
		return lastIndex;
	}

	const term = termAt(state.log, previousIndex);
	let index = previousIndex;
	while (index > state.commitIndex && termAt(state.log, index) === term) {
		index--;
	}

	return index;
}
