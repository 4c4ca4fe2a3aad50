import {commitUpTo} from './_commit.js';
import {type Draft, refreshReplicas, send} from './_draft.js';
import {appendReply, followLeader} from './_follow.js';
import {
	entriesBetween, lastIndexOf, replicaSetAt, termAt,
} from './_log.js';
import {type Snapshot} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {type SnapshotRequest} from './replica-message.js';

/** Handles a snapshot request: installs the snapshot unless the log already contains its entries. */
export function handleSnapshotRequest(draft: Draft, from: ReplicaId, request: SnapshotRequest): void {
	if (!followLeader(draft, from, request)) {
		return;
	}

	const {state} = draft;
	const {snapshot, round} = request;
	if (termAt(state.log, snapshot.lastIndex) === snapshot.lastTerm) {
		commitUpTo(draft, snapshot.lastIndex);
	} else if (snapshot.lastIndex > state.commitIndex) {
		installSnapshot(draft, snapshot);
	}

	send(draft, from, appendReply(draft, {success: true, matchIndex: snapshot.lastIndex, round}));
}

/** Stores a snapshot taken by the host, and compacts the log except for the trailing entries. */
export function saveSnapshot(draft: Draft, lastIndex: number, data: Uint8Array): void {
	const {state} = draft;
	const lastTerm = termAt(state.log, lastIndex);
	const {replicas} = replicaSetAt(state.log, lastIndex);
	if (lastIndex > state.commitIndex) {
		throw new RangeError(`Snapshot index ${lastIndex} exceeds the commit index ${state.commitIndex}`);
	}

	if (lastTerm === undefined || !replicas || lastIndex <= (state.log.snapshot?.lastIndex ?? 0)) {
		return;
	}

	const snapshot: Snapshot = {
		lastIndex, lastTerm, replicas, data,
	};
	draft.persistedSnapshot = snapshot;
	const baseIndex = Math.max(state.log.baseIndex, lastIndex - state.options.trailingEntries);
	state.log = {
		baseIndex,
		baseTerm: termAt(state.log, baseIndex) ?? lastTerm,
		baseReplicas: replicaSetAt(state.log, baseIndex).replicas,
		entries: entriesBetween(state.log, baseIndex + 1, lastIndexOf(state.log)),
		snapshot,
	};
}

function installSnapshot(draft: Draft, snapshot: Snapshot): void {
	const {state} = draft;
	state.log = {
		baseIndex: snapshot.lastIndex,
		baseTerm: snapshot.lastTerm,
		baseReplicas: snapshot.replicas,
		entries: [],
		snapshot,
	};
	state.commitIndex = snapshot.lastIndex;
	refreshReplicas(draft);
	draft.persistedSnapshot = snapshot;
	draft.restore = snapshot;
}
