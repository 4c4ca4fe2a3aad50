import {commitReplicatedEntries} from './_commit.js';
import {quorumTimeout} from './_persist-delay.js';
import {becomeFollower, type Draft, send} from './_draft.js';
import {currentRound, startRound} from './_lease.js';
import {entryAt, lastIndexOf, termAt} from './_log.js';
import {peersOf} from './_quorum.js';
import {type LogEntry} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type AppendReply} from './replica-message.js';
import {
	type FollowerProgress, type LeaderRole, type ReplicaLog, type ReplicaState,
} from './replica-state.js';

/** The size of an entry in addition to its data, in bytes. */
const entryOverheadBytes = 32;

/** Creates the progress of all replicas in effect, with the existing progress where there is one. */
export function createProgress(state: ReplicaState, existing: LeaderRole['progress']): LeaderRole['progress'] {
	const fresh: FollowerProgress = {
		matchIndex: 0,
		nextIndex: lastIndexOf(state.log) + 1,
		inFlight: 0,
		ackedRoundSentAt: undefined,
		isActive: false,
		snapshotSentAt: undefined,
	};
	return new Map(peersOf(state).map(peer => [peer, existing.get(peer) ?? fresh]));
}

/** Starts a heartbeat round if one is due. */
export function heartbeatIfDue(draft: Draft): void {
	const {state, now} = draft;
	const {role} = state;
	if (role.type === 'leader' && now >= currentRound(role).sentAt + state.options.heartbeatInterval) {
		sendRound(draft);
	}
}

/** Starts a heartbeat round: sends every other replica an append request, with entries if it lacks some. */
export function sendRound(draft: Draft): void {
	const {role} = draft.state;
	if (role.type !== 'leader') {
		return;
	}

	draft.state.role = startRound(draft, role);
	const timeout = quorumTimeout(draft.state, role);
	for (const [peer, progress] of role.progress) {
		rewindIfUnresponsive(draft, peer, {progress, timeout});
		sendAppend(draft, peer);
	}
}

/** Sends every other replica the entries it lacks, up to the limit of requests in flight. */
export function sendEntries(draft: Draft): void {
	const {role} = draft.state;
	if (role.type !== 'leader') {
		return;
	}

	for (const peer of role.progress.keys()) {
		sendEntriesTo(draft, peer);
	}
}

/** Handles a reply to an append or snapshot request. */
export function handleAppendReply(draft: Draft, from: ReplicaId, reply: AppendReply): void {
	const {state} = draft;
	if (reply.term > state.hardState.term) {
		becomeFollower(draft, reply.term);
		return;
	}

	const {role} = state;
	const progress = role.type === 'leader' ? role.progress.get(from) : undefined;
	if (role.type !== 'leader' || !progress || reply.term !== state.hardState.term) {
		return;
	}

	const ackedRoundSentAt = maximumDefined(progress.ackedRoundSentAt, role.rounds.find(({round}) => round === reply.round)?.sentAt);
	// A success at index 0 only confirms contact; the reply to the entries follows.
	const answersEntries = !reply.success || reply.matchIndex > 0;
	const updated = {...progress, ackedRoundSentAt, inFlight: answersEntries ? Math.max(0, progress.inFlight - 1) : progress.inFlight};
	setProgress(draft, from, reply.success ? advanceProgress(updated, reply) : rewindProgress(updated, reply));
	if (reply.success) {
		commitReplicatedEntries(draft);
	}

	sendEntriesTo(draft, from);
}

function advanceProgress(progress: FollowerProgress, {matchIndex}: AppendReply): FollowerProgress {
	const newMatchIndex = Math.max(progress.matchIndex, matchIndex);
	const hasSnapshot = newMatchIndex >= progress.nextIndex - 1;
	return {
		...progress,
		matchIndex: newMatchIndex,
		nextIndex: Math.max(progress.nextIndex, newMatchIndex + 1),
		isActive: progress.isActive || newMatchIndex > progress.matchIndex,
		snapshotSentAt: hasSnapshot ? undefined : progress.snapshotSentAt,
	};
}

function rewindProgress(progress: FollowerProgress, {matchIndex}: AppendReply): FollowerProgress {
	if (progress.snapshotSentAt !== undefined || matchIndex + 1 >= progress.nextIndex) {
		return progress;
	}

	return {...progress, nextIndex: Math.max(progress.matchIndex, matchIndex) + 1, inFlight: 0};
}

/** Resets a follower to its last known match if it acknowledged nothing for a round, or for the quorum timeout after a snapshot. */
function rewindIfUnresponsive(draft: Draft, peer: ReplicaId, {progress, timeout}: {readonly progress: FollowerProgress; readonly timeout: number}): void {
	const {snapshotSentAt, isActive, matchIndex, nextIndex} = progress;
	if (snapshotSentAt !== undefined && draft.now < snapshotSentAt + timeout) {
		return;
	}

	const isUnresponsive = !isActive || snapshotSentAt !== undefined;
	setProgress(draft, peer, {
		...progress,
		isActive: false,
		snapshotSentAt: undefined,
		inFlight: isUnresponsive ? 0 : progress.inFlight,
		nextIndex: isUnresponsive && matchIndex > 0 ? matchIndex + 1 : nextIndex,
	});
}

function sendEntriesTo(draft: Draft, peer: ReplicaId): void {
	const {state} = draft;
	while (state.role.type === 'leader') {
		const progress = state.role.progress.get(peer);
		const hasNothingToSend = !progress || progress.nextIndex > lastIndexOf(state.log) || progress.snapshotSentAt !== undefined;
		if (hasNothingToSend || progress.inFlight >= state.options.maximumInFlight) {
			return;
		}

		sendAppend(draft, peer);
	}
}

function sendAppend(draft: Draft, peer: ReplicaId): void {
	const {state} = draft;
	const {role, log} = state;
	const progress = role.type === 'leader' ? role.progress.get(peer) : undefined;
	if (role.type !== 'leader' || !progress) {
		return;
	}

	const {round} = currentRound(role);
	const {term} = state.hardState;
	if (progress.snapshotSentAt !== undefined) {
		// Every log matches at index 0, so the reply only confirms contact.
		send(draft, peer, {
			type: 'append-request', term, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round,
		});
		return;
	}

	const previousIndex = progress.nextIndex - 1;
	const previousTerm = termAt(log, previousIndex);
	if (previousTerm === undefined) {
		sendSnapshot(draft, peer, progress);
		return;
	}

	const entries = nextBatch(log, progress.nextIndex, state.options.maximumAppendBytes);
	send(draft, peer, {
		type: 'append-request', term, previousIndex, previousTerm, entries, commitIndex: state.commitIndex, round,
	});
	if (entries.length > 0) {
		setProgress(draft, peer, {...progress, nextIndex: progress.nextIndex + entries.length, inFlight: progress.inFlight + 1});
	}
}

function sendSnapshot(draft: Draft, peer: ReplicaId, progress: FollowerProgress): void {
	const {state, now} = draft;
	const {role, log: {snapshot}} = state;
	if (role.type !== 'leader' || !snapshot) {
		return;
	}

	const {round} = currentRound(role);
	send(draft, peer, {
		type: 'snapshot-request', term: state.hardState.term, snapshot, round,
	});
	setProgress(draft, peer, {
		...progress, nextIndex: snapshot.lastIndex + 1, inFlight: 0, snapshotSentAt: now,
	});
}

function nextBatch(log: ReplicaLog, first: number, maximumBytes: number): readonly LogEntry[] {
	const batch: LogEntry[] = [];
	let bytes = 0;
	for (let index = first; ; index++) {
		const entry = entryAt(log, index);
		if (!entry) {
			return batch;
		}

		bytes += entryBytes(entry);
		if (batch.length > 0 && bytes > maximumBytes) {
			return batch;
		}

		batch.push(entry);
	}
}

function entryBytes({payload}: LogEntry): number {
	return entryOverheadBytes + (payload.type === 'command' ? payload.data.length : 0);
}

function setProgress({state}: Draft, peer: ReplicaId, progress: FollowerProgress): void {
	if (state.role.type === 'leader') {
		state.role = {...state.role, progress: new Map(state.role.progress).set(peer, progress)};
	}
}

function maximumDefined(left: number | undefined, right: number | undefined): number | undefined {
	return left === undefined || right === undefined ? left ?? right : Math.max(left, right);
}
