import {type LogEntry, type ReplicaSet, type Snapshot} from './log-entry.js';
import {type ReplicaLog} from './replica-state.js';

/** What a log is built from when a replica starts. */
export type LogParts = {
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	readonly replicas: ReplicaSet | undefined;
};

/** A replica set with the index of its entry. */
export type PlacedReplicaSet = {
	readonly replicas: ReplicaSet | undefined;
	readonly index: number;
};

/** Builds the log from what was on disk; entries that do not join the snapshot are left out. */
export function openLog({snapshot, entries, replicas}: LogParts): ReplicaLog {
	if (!snapshot) {
		return {
			baseIndex: 0, baseTerm: 0, baseReplicas: replicas, entries, snapshot,
		};
	}

	const tail = tailBefore(snapshot, entries);
	const base = tail[0] ?? {index: snapshot.lastIndex, term: snapshot.lastTerm};
	const after = entriesAfter(snapshot, entries);
	return {
		baseIndex: base.index,
		baseTerm: base.term,
		baseReplicas: snapshot.replicas,
		entries: [...tail.slice(1), ...after],
		snapshot,
	};
}

/** The last index of the log. */
export function lastIndexOf(log: ReplicaLog): number {
	return log.baseIndex + log.entries.length;
}

/** The term of the last entry. */
export function lastTermOf(log: ReplicaLog): number {
	return log.entries.at(-1)?.term ?? log.baseTerm;
}

/** The term at an index, or undefined where the log does not hold it. */
export function termAt(log: ReplicaLog, index: number): number | undefined {
	return index === log.baseIndex ? log.baseTerm : entryAt(log, index)?.term;
}

/** The entry at an index, or undefined where the log does not hold it. */
export function entryAt(log: ReplicaLog, index: number): LogEntry | undefined {
	return index > log.baseIndex ? log.entries[index - log.baseIndex - 1] : undefined;
}

/** The entries from one index to another, both included. */
export function entriesBetween(log: ReplicaLog, first: number, last: number): readonly LogEntry[] {
	return log.entries.slice(first - log.baseIndex - 1, last - log.baseIndex);
}

/** The log with entries added; what stood from the first one's index on is cut. */
export function withEntries(log: ReplicaLog, added: readonly LogEntry[]): ReplicaLog {
	const [first] = added;
	if (!first) {
		return log;
	}

	const kept = first.index > lastIndexOf(log) ? log.entries : entriesBetween(log, log.baseIndex + 1, first.index - 1);
	return {...log, entries: [...kept, ...added]};
}

/** The newest replica set up to an index. */
export function replicaSetAt(log: ReplicaLog, index: number): PlacedReplicaSet {
	for (let position = index; position > log.baseIndex; position--) {
		const payload = entryAt(log, position)?.payload;
		if (payload?.type === 'replica-set') {
			return {replicas: payload.replicas, index: position};
		}
	}

	return {replicas: log.baseReplicas, index: log.baseIndex};
}

function tailBefore(snapshot: Snapshot, entries: readonly LogEntry[]): readonly LogEntry[] {
	const tail = entries.filter(({index}) => index <= snapshot.lastIndex);
	const last = tail.at(-1);
	return last?.index === snapshot.lastIndex && last.term === snapshot.lastTerm ? tail : [];
}

function entriesAfter(snapshot: Snapshot, entries: readonly LogEntry[]): readonly LogEntry[] {
	const after = entries.filter(({index}) => index > snapshot.lastIndex);
	return after[0]?.index === snapshot.lastIndex + 1 ? after : [];
}
