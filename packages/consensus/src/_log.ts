import {type LogEntry, type ReplicaSet, type Snapshot} from './log-entry.js';
import {type ReplicaLog} from './replica-state.js';

/** The stored parts of a log at the start of a replica. */
export type StoredLog = {
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	readonly replicas: ReplicaSet | undefined;
};

/** A replica set with the index of its entry. */
export type IndexedReplicaSet = {
	readonly replicas: ReplicaSet | undefined;
	readonly index: number;
};

/** Builds the log from its stored parts. Entries that are not contiguous with the snapshot are left out. */
export function buildLog({snapshot, entries, replicas}: StoredLog): ReplicaLog {
	if (!snapshot) {
		return {
			baseIndex: 0, baseTerm: 0, baseReplicas: replicas, entries, snapshot,
		};
	}

	const tail = matchingTail(snapshot, entries);
	const base = tail[0] ?? {index: snapshot.lastIndex, term: snapshot.lastTerm};
	const following = followingEntries(snapshot, entries);
	return {
		baseIndex: base.index,
		baseTerm: base.term,
		baseReplicas: snapshot.replicas,
		entries: [...tail.slice(1), ...following],
		snapshot,
	};
}

/** Returns the last index of the log. */
export function lastIndexOf(log: ReplicaLog): number {
	return log.baseIndex + log.entries.length;
}

/** Returns the term of the last entry. */
export function lastTermOf(log: ReplicaLog): number {
	return log.entries.at(-1)?.term ?? log.baseTerm;
}

/** Returns the term at an index, or undefined if the log does not contain it. */
export function termAt(log: ReplicaLog, index: number): number | undefined {
	return index === log.baseIndex ? log.baseTerm : entryAt(log, index)?.term;
}

/** Returns the entry at an index, or undefined if the log does not contain it. */
export function entryAt(log: ReplicaLog, index: number): LogEntry | undefined {
	return index > log.baseIndex ? log.entries[index - log.baseIndex - 1] : undefined;
}

/** Returns the entries from `first` to `last`, inclusive. */
export function entriesBetween(log: ReplicaLog, first: number, last: number): readonly LogEntry[] {
	return log.entries.slice(first - log.baseIndex - 1, last - log.baseIndex);
}

/** Returns the log with entries appended, after truncating it at the index of the first one. */
export function withEntries(log: ReplicaLog, added: readonly LogEntry[]): ReplicaLog {
	const [first] = added;
	if (!first) {
		return log;
	}

	const kept = first.index > lastIndexOf(log) ? log.entries : entriesBetween(log, log.baseIndex + 1, first.index - 1);
	return {...log, entries: [...kept, ...added]};
}

/** Returns the newest replica set up to an index. */
export function replicaSetAt(log: ReplicaLog, index: number): IndexedReplicaSet {
	for (let position = index; position > log.baseIndex; position--) {
		const payload = entryAt(log, position)?.payload;
		if (payload?.type === 'replica-set') {
			return {replicas: payload.replicas, index: position};
		}
	}

	return {replicas: log.baseReplicas, index: log.baseIndex};
}

function matchingTail(snapshot: Snapshot, entries: readonly LogEntry[]): readonly LogEntry[] {
	const tail = entries.filter(({index}) => index <= snapshot.lastIndex);
	const last = tail.at(-1);
	return last?.index === snapshot.lastIndex && last.term === snapshot.lastTerm ? tail : [];
}

function followingEntries(snapshot: Snapshot, entries: readonly LogEntry[]): readonly LogEntry[] {
	const following = entries.filter(({index}) => index > snapshot.lastIndex);
	return following[0]?.index === snapshot.lastIndex + 1 ? following : [];
}
