import {type PromptPartFingerprint, type SuspectFingerprint} from '@valehitch/core';
import {mergeExits, mergeRecord} from './_merge-suspect-record.js';
import {type ServerExit, type SuspectRecord, type SuspectStatus} from './suspect-record.js';
import {quarantineThreshold, SuspectAnalysis} from './_suspect-analysis.js';
import {retentionMilliseconds, suspectSubject, type SuspectSubject} from './_suspect-subject.js';

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
	/** What the record says, which is worked out anew only when the record changes or ages. */
	subject: SuspectSubject | undefined;
};

/** A crash leaves about 20 requests and as many parts with one exit each, so this holds those of two dozen crashes in about 200 KB. */
const defaultCapacity = 1024;
/** The number of exits from which a record is shared with other instances; with a lower one, each server exit would share all requests that were in progress there. */
const sharingThreshold = 2;

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
	#analysis: {readonly at: number; readonly validUntil: number; readonly result: SuspectAnalysis} | undefined;

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
		const entry = this.#entries.get(fingerprint);
		return entry === undefined ? 'unknown' : this.#analyze(now).statusOf(subjectOf(entry, now));
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
		if (known !== undefined && now >= known.at && now < known.validUntil) {
			return known.result;
		}

		const subjects: SuspectSubject[] = [];
		let validUntil = Number.POSITIVE_INFINITY;
		for (const entry of this.#entries.values()) {
			const subject = subjectOf(entry, now);
			validUntil = Math.min(validUntil, subject.validUntil);
			if (subject.exits.size >= quarantineThreshold) {
				subjects.push(subject);
			}
		}

		const result = new SuspectAnalysis(subjects, now);
		this.#analysis = {at: now, validUntil, result};
		return result;
	}

	#store(record: SuspectRecord, previous: Entry | undefined): SuspectRecord {
		this.#analysis = undefined;
		const isShared = previous?.changedAt !== undefined || record.ends.length >= sharingThreshold;
		this.#entries.set(record.fingerprint, {record, changedAt: isShared ? this.#nextChange() : undefined, subject: undefined});
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

/** Returns what a record says at a time. */
function subjectOf(entry: Entry, now: number): SuspectSubject {
	const {record, subject: known} = entry;
	if (known !== undefined && now >= known.validFrom && now < known.validUntil) {
		return known;
	}

	const subject = suspectSubject(record, now);
	entry.subject = subject;
	return subject;
}

function unclearedExits({ends}: SuspectRecord): readonly ServerExit[] {
	return ends.filter(({isCleared}) => !isCleared);
}

function compareEvidence(one: SuspectRecord, other: SuspectRecord): number {
	const [ends, otherEnds] = [unclearedExits(one).length, unclearedExits(other).length];
	return ends === otherEnds ? latestExitAt(one) - latestExitAt(other) : ends - otherEnds;
}

function latestExitAt({ends}: SuspectRecord): number {
	return ends.at(-1)?.at ?? 0;
}
