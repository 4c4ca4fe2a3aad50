import {type PromptPartFingerprint, type SuspectFingerprint} from '@valehitch/core';
import {isPromptPart} from './prompt-part-fingerprint.js';
import {type ServerExit, type SuspectRecord, type SuspectStatus} from './suspect-record.js';
import {retentionMilliseconds, SuspectAnalysis} from './_suspect-analysis.js';

/** An exit that an instance observed, with what is known of the request or the part. */
export type ObservedExit = Pick<ServerExit, 'process' | 'at'> & Pick<SuspectRecord, 'parts' | 'depth' | 'answeredAt'>;

/** The limits of a registry. */
export type SuspectRegistryOptions = {
	/** The maximum number of requests and parts of prompts; 1,024 by default. */
	readonly capacity?: number;
};

type Entry = {
	record: SuspectRecord;
	/** The number of the last change to a shared record; undefined while the record is not shared with other instances. */
	changedAt: number | undefined;
};

/** A crash leaves about 20 requests and as many parts with one exit each, so this holds those of two dozen crashes in about 200 KB. */
const defaultCapacity = 1024;
/** The number of exits from which a record is shared with other instances; with a lower one, each server exit would share all requests that were in progress there. */
const sharingThreshold = 2;
/** Enough exits per request for repeated quarantines within the hour. */
const maximumExitsPerRequest = 8;
/** More than for a request: while a part is not known yet, requests with it run at many servers at the same time, and an exit that is left out would seem to have another cause. */
const maximumExitsPerPart = 32;

/**
Tracks requests and parts of prompts during which backend server processes exited, and quarantines those that crash servers repeatedly.

This protects against a request that crashes every server that runs it and is retried under other ids and at other instances, and against a part that crashes servers in prompts that have nothing else in common.

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
	readonly #entries = new Map<SuspectFingerprint, Entry>();
	#lastChange = 0;
	#analysis: {readonly at: number; readonly result: SuspectAnalysis} | undefined;

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
	Returns the record of a request or a part.

	@param fingerprint The request or the part.
	@returns The record, or undefined if there is none.
	*/
	get(fingerprint: SuspectFingerprint): SuspectRecord | undefined {
		return this.#entries.get(fingerprint)?.record;
	}

	/**
	Returns the status of a request or a part by its own exits.

	@param fingerprint The request or the part.
	@param now Milliseconds since the epoch.
	@returns The status.
	*/
	status(fingerprint: SuspectFingerprint, now: number): SuspectStatus {
		return this.#analyze(now).statusOf(fingerprint);
	}

	/**
	Returns the quarantined requests and parts.

	@param now Milliseconds since the epoch.
	@returns Their fingerprints.
	*/
	quarantined(now: number): ReadonlySet<SuspectFingerprint> {
		return this.#analyze(now).blamed;
	}

	/**
	Records that a process exited while a request was in progress on it.

	@param fingerprint The request, or a part of its prompt.
	@param exit The process, and when it exited.
	@returns Whether the record changed.
	*/
	recordExit(fingerprint: SuspectFingerprint, {process, at, ...details}: ObservedExit): boolean {
		return this.merge([{fingerprint, ends: [{process, at, isCleared: false}], ...details}]).length > 0;
	}

	/**
	Clears the exits recorded so far, since a server has answered the request completely or an operator cleared it.

	@param fingerprint The request or the part.
	@returns Whether the record changed.
	*/
	clear(fingerprint: SuspectFingerprint): boolean {
		const known = this.get(fingerprint);
		return known !== undefined && this.merge([{...known, ends: known.ends.map(end => ({...end, isCleared: true}))}]).length > 0;
	}

	/**
	Records when a server answered a prompt with a part completely, unless an answer is known. It clears nothing by itself.

	@param part The part.
	@param answeredAt Milliseconds since the epoch.
	@returns Whether the record changed.
	*/
	recordAnswer(part: PromptPartFingerprint, answeredAt: number): boolean {
		const known = this.#entries.get(part);
		if (known === undefined || known.record.answeredAt !== undefined) {
			return false;
		}

		this.#store({...known.record, answeredAt}, known);
		return true;
	}

	/**
	Merges records from another instance or from an earlier run.

	@param records The records.
	@returns The records that changed, in their merged form.
	*/
	merge(records: readonly SuspectRecord[]): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const record of records) {
			const existing = this.#entries.get(record.fingerprint);
			const ends = mergeExits(existing?.record.ends ?? [], record);
			if (ends !== undefined || (record.answeredAt !== undefined && existing?.record.answeredAt === undefined)) {
				changed.push(this.#store(mergeRecord(existing?.record, record, {ends: ends ?? existing?.record.ends ?? []}), existing));
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
				this.#analysis = undefined;
			}
		}
	}

	/** Returns the analysis of the current records, which is kept until they change or age. */
	#analyze(now: number): SuspectAnalysis {
		const known = this.#analysis;
		if (known !== undefined && now >= known.at && now < known.result.validUntil) {
			return known.result;
		}

		const result = new SuspectAnalysis(this.records, now);
		this.#analysis = {at: now, result};
		return result;
	}

	#store(record: SuspectRecord, previous: Entry | undefined): SuspectRecord {
		this.#analysis = undefined;
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

/** Returns the union of the exits of two records, limited to the latest ones, or undefined if the second adds nothing to the first. */
function mergeExits(known: readonly ServerExit[], {fingerprint, ends: added}: SuspectRecord): readonly ServerExit[] | undefined {
	const merged = new Map(known.map(end => [end.process, end]));
	for (const end of added) {
		const before = merged.get(end.process);
		if (before === undefined || (end.isCleared && !before.isCleared)) {
			merged.set(end.process, {...end, at: before?.at ?? end.at});
		}
	}

	const limit = isPromptPart(fingerprint) ? maximumExitsPerPart : maximumExitsPerRequest;
	const ends = [...merged.values()].toSorted((one, other) => one.at - other.at).slice(-limit);
	return ends.every(end => known.includes(end)) ? undefined : ends;
}

/** Returns the union of two records of the same request or part. Only what is known is stored, so that stored records have the form that earlier versions read. */
function mergeRecord(known: SuspectRecord | undefined, added: SuspectRecord, {ends}: Pick<SuspectRecord, 'ends'>): SuspectRecord {
	const parts = known?.parts ?? added.parts;
	const depth = largest(known?.depth, added.depth);
	const answeredAt = largest(known?.answeredAt, added.answeredAt);
	return {
		fingerprint: added.fingerprint, ends, ...(parts !== undefined && {parts}), ...(depth !== undefined && {depth}), ...(answeredAt !== undefined && {answeredAt}),
	};
}

function largest(one: number | undefined, other: number | undefined): number | undefined {
	return one === undefined || other === undefined ? one ?? other : Math.max(one, other);
}

function compareEvidence(one: SuspectRecord, other: SuspectRecord): number {
	const [ends, otherEnds] = [unclearedExits(one).length, unclearedExits(other).length];
	return ends === otherEnds ? latestExitAt(one) - latestExitAt(other) : ends - otherEnds;
}

function latestExitAt({ends}: SuspectRecord): number {
	return ends.at(-1)?.at ?? 0;
}
