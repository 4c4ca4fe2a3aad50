import {type RequestFingerprint} from '@valehitch/core';
import {type ServerExit, type SuspectRecord, type SuspectStatus} from './suspect-record.js';

/** An exit that an instance observed. */
export type ObservedExit = Pick<ServerExit, 'process' | 'at'>;

/** The limits of a registry. */
export type SuspectRegistryOptions = {
	/** The maximum number of requests; 512 by default. */
	readonly capacity?: number;
};

type Entry = {
	record: SuspectRecord;
	/** The number of the last change to a shared record; undefined while the record is not shared with other instances. */
	changedAt: number | undefined;
};

/** A crash leaves about 20 requests with one exit each, so this holds the requests of two dozen crashes in about 100 KB. */
const defaultCapacity = 512;
/** One exit may be a coincidence, and so may a second while servers fail one after another; a third process that exits during the same request is taken as proof. */
const quarantineThreshold = 3;
const doubtfulThreshold = 2;
/** The number of exits from which a record is shared with other instances; with a lower one, each server exit would share all requests that were in progress there. */
const sharingThreshold = 2;
/** How long an exit counts fully: ten minutes, after which the request may be sent once more, which reveals a wrong verdict. */
const fullWeightMilliseconds = 600_000;
/** How long an exit counts at all: an hour, within which one more exit is enough for another quarantine. */
const retentionMilliseconds = 3_600_000;
/** Enough exits per request for repeated quarantines within the hour. */
const maximumExitsPerRequest = 8;

/**
Tracks requests during which backend server processes exited, and quarantines those that crash servers repeatedly.

This protects against a request that crashes every server that runs it and is retried under other ids and at other instances. Without such a record, 32 tries of one request caused 44 server exits within 8 s, in a deployment of three entry instances and eight servers that restart after 0.4 s.

The registries of several instances converge by merging their records in any order and any number of times: exits are only added, and only change from uncleared to cleared.

@example
```ts
const registry = new SuspectRegistry();
registry.recordExit(fingerprint, {process: 'server-1 1000', at: Date.now()});
registry.status(fingerprint, Date.now()); // 'suspect'
```
*/
export class SuspectRegistry {
	readonly #capacity: number;
	readonly #entries = new Map<RequestFingerprint, Entry>();
	#lastChange = 0;

	constructor({capacity = defaultCapacity}: SuspectRegistryOptions = {}) {
		this.#capacity = capacity;
	}

	/** Whether the registry has no records, so that lookups can be skipped. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** The number of the last change to a shared record. */
	get cursor(): number {
		return this.#lastChange;
	}

	/** All records. */
	get records(): readonly SuspectRecord[] {
		return [...this.#entries.values()].map(({record}) => record);
	}

	/** The records that are shared with other instances. */
	get sharedRecords(): readonly SuspectRecord[] {
		return this.changedSince(0);
	}

	/**
	Returns the shared records that changed after a cursor.

	@param cursor An earlier value of `cursor`, or 0 for all shared records.
	@returns The records.
	*/
	changedSince(cursor: number): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {record, changedAt} of this.#entries.values()) {
			if (changedAt !== undefined && changedAt > cursor) {
				changed.push(record);
			}
		}

		return changed;
	}

	/**
	Returns the record of a request.

	@param fingerprint The fingerprint of the request.
	@returns The record, or undefined if there is none.
	*/
	get(fingerprint: RequestFingerprint): SuspectRecord | undefined {
		return this.#entries.get(fingerprint)?.record;
	}

	/**
	Returns the status of a request.

	@param fingerprint The fingerprint of the request.
	@param now Milliseconds since the epoch.
	@returns The status.
	*/
	status(fingerprint: RequestFingerprint, now: number): SuspectStatus {
		const ends = countExits(this.get(fingerprint), now);
		if (ends >= quarantineThreshold) {
			return 'quarantined';
		}

		if (ends >= doubtfulThreshold) {
			return 'doubtful';
		}

		return ends > 0 ? 'suspect' : 'unknown';
	}

	/**
	Records that a process exited while a request was in progress on it.

	@param fingerprint The fingerprint of the request.
	@param end The process, and when it exited.
	@returns Whether the record changed.
	*/
	recordExit(fingerprint: RequestFingerprint, end: ObservedExit): boolean {
		return this.merge([{fingerprint, ends: [{...end, isCleared: false}]}]).length > 0;
	}

	/**
	Clears the exits recorded so far, since a server has answered the request completely or an operator cleared it.

	@param fingerprint The fingerprint of the request.
	@returns Whether the record changed.
	*/
	clear(fingerprint: RequestFingerprint): boolean {
		const known = this.get(fingerprint);
		return known !== undefined && this.merge([{...known, ends: known.ends.map(end => ({...end, isCleared: true}))}]).length > 0;
	}

	/**
	Merges records from another instance or from an earlier run.

	@param records The records.
	@returns The records that changed, in their merged form.
	*/
	merge(records: readonly SuspectRecord[]): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {fingerprint, ends} of records) {
			const existing = this.#entries.get(fingerprint);
			const merged = mergeExits(existing?.record.ends ?? [], ends);
			if (merged !== undefined) {
				changed.push(this.#store({fingerprint, ends: merged}, existing));
			}
		}

		return changed;
	}

	/**
	Deletes the records whose exits no longer count.

	@param now Milliseconds since the epoch.
	*/
	deleteExpired(now: number): void {
		for (const [fingerprint, {record: {ends}}] of this.#entries) {
			if (ends.every(({at}) => now - at >= retentionMilliseconds)) {
				this.#entries.delete(fingerprint);
			}
		}
	}

	#store(record: SuspectRecord, previous: Entry | undefined): SuspectRecord {
		const isShared = previous?.changedAt !== undefined || record.ends.length >= sharingThreshold;
		this.#entries.set(record.fingerprint, {record, changedAt: isShared ? this.#nextChange() : undefined});
		if (this.#entries.size > this.#capacity) {
			this.#evictLeastEvidence();
		}

		return record;
	}

	/** Evicts the record with the fewest uncleared exits, the oldest of these, so that new requests cannot displace one with proof against it. */
	#evictLeastEvidence(): void {
		let weakest: SuspectRecord | undefined;
		for (const {record} of this.#entries.values()) {
			if (weakest === undefined || compareEvidence(record, weakest) < 0) {
				weakest = record;
			}
		}

		if (weakest !== undefined) {
			this.#entries.delete(weakest.fingerprint);
		}
	}

	#nextChange(): number {
		this.#lastChange++;
		return this.#lastChange;
	}
}

function unclearedExits({ends}: SuspectRecord): readonly ServerExit[] {
	return ends.filter(({isCleared}) => !isCleared);
}

/** Counts the uncleared exits. Those past their full weight count up to one below the quarantine threshold. */
function countExits(record: SuspectRecord | undefined, now: number): number {
	let recent = 0;
	let older = 0;
	for (const {at} of record === undefined ? [] : unclearedExits(record)) {
		if (now - at < fullWeightMilliseconds) {
			recent++;
		} else if (now - at < retentionMilliseconds) {
			older++;
		}
	}

	return recent + Math.min(older, quarantineThreshold - 1);
}

/** Returns the union of two lists, limited to the latest exits, or undefined if the second adds nothing to the first. */
function mergeExits(known: readonly ServerExit[], added: readonly ServerExit[]): readonly ServerExit[] | undefined {
	const merged = new Map(known.map(end => [end.process, end]));
	for (const end of added) {
		const before = merged.get(end.process);
		if (before === undefined || (end.isCleared && !before.isCleared)) {
			merged.set(end.process, {...end, at: before?.at ?? end.at});
		}
	}

	const ends = [...merged.values()].toSorted((one, other) => one.at - other.at).slice(-maximumExitsPerRequest);
	return ends.every(end => known.includes(end)) ? undefined : ends;
}

function compareEvidence(one: SuspectRecord, other: SuspectRecord): number {
	const [ends, otherEnds] = [unclearedExits(one).length, unclearedExits(other).length];
	return ends === otherEnds ? latestExitAt(one) - latestExitAt(other) : ends - otherEnds;
}

function latestExitAt({ends}: SuspectRecord): number {
	return ends.at(-1)?.at ?? 0;
}
