import {commitUpTo} from './_commit.js';
import {
	appendToLog, becomeFollower, type Draft, resetElectionDeadline, send,
} from './_draft.js';
import {lastIndexOf, termAt} from './_log.js';
import {type LogEntry} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type AppendReply, type AppendRequest} from './replica-message.js';

/** Handles an append request: appends its entries, or replies with a hint if the previous entry does not match. */
export function handleAppendRequest(draft: Draft, from: ReplicaId, request: AppendRequest): void {
	if (!followLeader(draft, from, request)) {
		return;
	}

	const {state} = draft;
	const {previousIndex, previousTerm, entries} = request;
	// Entries before the base are committed, so they match those of the leader.
	const matchesPrevious = previousIndex < state.log.baseIndex || termAt(state.log, previousIndex) === previousTerm;
	if (!matchesPrevious) {
		send(draft, from, appendReply(draft, {success: false, matchIndex: conflictIndex(draft, previousIndex), round: request.round}));
		return;
	}

	appendToLog(draft, entriesToAppend(draft, entries));
	const matchIndex = previousIndex + entries.length;
	commitUpTo(draft, Math.min(request.commitIndex, matchIndex));
	send(draft, from, appendReply(draft, {success: true, matchIndex, round: request.round}));
}

/** Recognizes the sender as the leader of its term. If the term is stale, sends a reply with the current term and returns false. */
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

/** Creates a reply to an append or snapshot request in the current term. */
export function appendReply({state}: Draft, answer: Pick<AppendReply, 'success' | 'matchIndex' | 'round'>): AppendReply {
	return {type: 'append-reply', term: state.hardState.term, ...answer};
}

function entriesToAppend({state}: Draft, entries: readonly LogEntry[]): readonly LogEntry[] {
	const start = entries.findIndex(({index, term}) => index > state.log.baseIndex && termAt(state.log, index) !== term);
	const added = start === -1 ? [] : entries.slice(start);
	const [first] = added;
	if (first && first.index <= state.commitIndex) {
		throw new Error(`Leader sent a conflicting entry of term ${first.term} at index ${first.index}, which is already committed (commit index ${state.commitIndex})`);
	}

	return added;
}

/** Returns the last index before the conflicting term, so that one reply skips all entries of the term. */
function conflictIndex({state}: Draft, previousIndex: number): number {
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
