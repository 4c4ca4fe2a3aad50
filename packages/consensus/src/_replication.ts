import {commitByQuorum} from './_commit.js';
import {leaderTimeoutOf} from './_disk-patience.js';
import {becomeFollower, type Draft, send} from './_draft.js';
import {currentRound, openRound} from './_lease.js';
import {entryAt, lastIndexOf, termAt} from './_log.js';
import {peersOf} from './_quorum.js';
import {type LogEntry} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type AppendReply} from './replica-message.js';
import {
	type FollowerProgress, type LeaderRole, type ReplicaLog, type ReplicaState,
} from './replica-state.js';

/** What an entry weighs beside its data, in bytes. */
const entryOverheadBytes = 32;

/** The progress of the replicas in force; what is known of those that stay is kept. */
export function newProgress(state: ReplicaState, known: LeaderRole['progress']): LeaderRole['progress'] {
	const fresh: FollowerProgress = {
		matchIndex: 0,
		nextIndex: lastIndexOf(state.log) + 1,
		inFlight: 0,
		ackedAt: undefined,
		isActive: false,
		snapshotSentAt: undefined,
	};
	return new Map(peersOf(state).map(peer => [peer, known.get(peer) ?? fresh]));
}

/** Begins a heartbeat round when one is due. */
export function heartbeatWhenDue(draft: Draft): void {
	const {state, now} = draft;
	const {role} = state;
	if (role.type === 'leader' && now >= currentRound(role).sentAt + state.options.heartbeatInterval) {
		sendRound(draft);
	}
}

/** Sends a heartbeat round to every other replica, with entries where some are missing. */
export function sendRound(draft: Draft): void {
	const {role} = draft.state;
	if (role.type !== 'leader') {
		return;
	}

	draft.state.role = openRound(draft, role);
	const timeout = leaderTimeoutOf(draft.state, role);
	for (const [peer, progress] of role.progress) {
		goBackWhenSilent(draft, peer, {progress, timeout});
		sendAppend(draft, peer);
	}
}

/** Sends each other replica the entries it lacks, as far as requests may be unanswered. */
export function sendEntries(draft: Draft): void {
	const {role} = draft.state;
	if (role.type !== 'leader') {
		return;
	}

	for (const peer of role.progress.keys()) {
		sendEntriesTo(draft, peer);
	}
}

/** Takes a follower's answer in. */
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

	const ackedAt = latest(progress.ackedAt, role.rounds.find(({round}) => round === reply.round)?.sentAt);
	const heard = {...progress, ackedAt, inFlight: Math.max(0, progress.inFlight - 1)};
	setProgress(draft, from, reply.success ? advance(heard, reply) : goBack(heard, reply));
	if (reply.success) {
		commitByQuorum(draft);
	}

	sendEntriesTo(draft, from);
}

function advance(progress: FollowerProgress, {matchIndex}: AppendReply): FollowerProgress {
	const reached = Math.max(progress.matchIndex, matchIndex);
	const isSnapshotHeld = reached >= progress.nextIndex - 1;
	return {
		...progress,
		matchIndex: reached,
		nextIndex: Math.max(progress.nextIndex, reached + 1),
		isActive: progress.isActive || reached > progress.matchIndex,
		snapshotSentAt: isSnapshotHeld ? undefined : progress.snapshotSentAt,
	};
}

function goBack(progress: FollowerProgress, {matchIndex}: AppendReply): FollowerProgress {
	if (progress.snapshotSentAt !== undefined || matchIndex + 1 >= progress.nextIndex) {
		return progress;
	}

	return {...progress, nextIndex: Math.max(progress.matchIndex, matchIndex) + 1, inFlight: 0};
}

/** Sends from the last known match again where nothing was answered for a round; a snapshot gets longer. */
function goBackWhenSilent(draft: Draft, peer: ReplicaId, {progress, timeout}: {readonly progress: FollowerProgress; readonly timeout: number}): void {
	const {snapshotSentAt, isActive, matchIndex, nextIndex} = progress;
	if (snapshotSentAt !== undefined && draft.now < snapshotSentAt + timeout) {
		return;
	}

	const isSilent = !isActive || snapshotSentAt !== undefined;
	setProgress(draft, peer, {
		...progress,
		isActive: false,
		snapshotSentAt: undefined,
		inFlight: isSilent ? 0 : progress.inFlight,
		nextIndex: isSilent && matchIndex > 0 ? matchIndex + 1 : nextIndex,
	});
}

function sendEntriesTo(draft: Draft, peer: ReplicaId): void {
	const {state} = draft;
	while (state.role.type === 'leader') {
		const progress = state.role.progress.get(peer);
		const isIdle = !progress || progress.nextIndex > lastIndexOf(state.log) || progress.snapshotSentAt !== undefined;
		if (isIdle || progress.inFlight >= state.options.maximumInFlight) {
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
		// The answer counts as contact only: every log matches at index 0.
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

		bytes += bytesOf(entry);
		if (batch.length > 0 && bytes > maximumBytes) {
			return batch;
		}

		batch.push(entry);
	}
}

function bytesOf({payload}: LogEntry): number {
	return entryOverheadBytes + (payload.type === 'command' ? payload.data.length : 0);
}

function setProgress({state}: Draft, peer: ReplicaId, progress: FollowerProgress): void {
	if (state.role.type === 'leader') {
		state.role = {...state.role, progress: new Map(state.role.progress).set(peer, progress)};
	}
}

function latest(left: number | undefined, right: number | undefined): number | undefined {
	return left === undefined || right === undefined ? left ?? right : Math.max(left, right);
}
