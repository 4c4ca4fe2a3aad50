import {type RequestFingerprint} from '@valehitch/core';
import {type ServerEnd, type SuspectRecord, type SuspectStanding} from './suspect-record.js';

/** One end that an instance saw. */
export type SeenEnd = Pick<ServerEnd, 'process' | 'at'>;

/** How much a book holds. */
export type SuspectBookOptions = {
	/** The most requests; 512 by default. */
	readonly capacity?: number;
};

type Held = {
	record: SuspectRecord;
	/** The number of the last change that others are told; undefined where it concerns nobody else yet. */
	changedAt: number | undefined;
};

/** A crash leaves some 20 requests with one end each, so that this holds those of two dozen crashes: about 100 KB. */
const defaultCapacity = 512;
/** One end may be chance, and so may a second one while servers end one after the other; a third process that ends under the same request is taken for proof. */
const quarantineEnds = 3;
const doubtfulEnds = 2;
/** With as many ends the other instances are told: before that, each server that ends would tell them of all requests that it had. */
const toldEnds = 2;
/** How long an end counts in full, in milliseconds: ten minutes, after which a wrong verdict is found out by one send. */
const freshMilliseconds = 600_000;
/** How long it counts at all: an hour, within which one further end is enough for the next quarantine. */
const forgetMilliseconds = 3_600_000;
/** Ends that are held of one request: enough to be proven again and again within the hour. */
const maximumEnds = 8;

/**
What is known of requests under which backend servers ended.

Answers a load in which one request ends every server that runs it and comes again under other ids and at other instances: without a memory of it, 44 servers ended within 8 s under 32 tries of one request, in a deployment of three entry instances and eight servers that are back after 0.4 s.

Books of several instances become alike by merging their records in any order, as often as wanted: ends are only added, and only become cleared.

@example
```ts
const book = new SuspectBook();
book.noteEnd(fingerprint, {process: 'server-1 1000', at: Date.now()});
book.standing(fingerprint, Date.now()); // 'suspect'
```
*/
export class SuspectBook {
	readonly #capacity: number;
	readonly #suspects = new Map<RequestFingerprint, Held>();
	#changes = 0;

	constructor({capacity = defaultCapacity}: SuspectBookOptions = {}) {
		this.#capacity = capacity;
	}

	/** Whether nothing is known of any request, so that none need be looked up. */
	get isEmpty(): boolean {
		return this.#suspects.size === 0;
	}

	/** The number of the last change that concerns other instances. */
	get cursor(): number {
		return this.#changes;
	}

	/** All that is held. */
	get records(): readonly SuspectRecord[] {
		return [...this.#suspects.values()].map(({record}) => record);
	}

	/** What concerns other instances. */
	get told(): readonly SuspectRecord[] {
		return this.changedSince(0);
	}

	/**
	What concerns other instances and changed after a point.

	@param cursor The point, 0 for all.
	@returns The records.
	*/
	changedSince(cursor: number): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {record, changedAt} of this.#suspects.values()) {
			if (changedAt !== undefined && changedAt > cursor) {
				changed.push(record);
			}
		}

		return changed;
	}

	/**
	Reads a record.

	@param fingerprint The request.
	@returns The record; undefined where nothing is known of the request.
	*/
	get(fingerprint: RequestFingerprint): SuspectRecord | undefined {
		return this.#suspects.get(fingerprint)?.record;
	}

	/**
	Tells what follows for a request.

	@param fingerprint The request.
	@param now Milliseconds since the epoch.
	@returns Its standing.
	*/
	standing(fingerprint: RequestFingerprint, now: number): SuspectStanding {
		const ends = countEnds(this.get(fingerprint), now);
		if (ends >= quarantineEnds) {
			return 'quarantined';
		}

		if (ends >= doubtfulEnds) {
			return 'doubtful';
		}

		return ends > 0 ? 'suspect' : 'unknown';
	}

	/**
	Notes that a process ended while it had a request.

	@param fingerprint The request.
	@param end The process and when it ended.
	@returns Whether this is new.
	*/
	noteEnd(fingerprint: RequestFingerprint, end: SeenEnd): boolean {
		return this.merge([{fingerprint, ends: [{...end, isCleared: false}]}]).length > 0;
	}

	/**
	Notes that the ends so far say nothing against a request: a server has answered it whole, or an operator says so.

	@param fingerprint The request.
	@returns Whether this is new.
	*/
	clear(fingerprint: RequestFingerprint): boolean {
		const known = this.get(fingerprint);
		return known !== undefined && this.merge([{...known, ends: known.ends.map(end => ({...end, isCleared: true}))}]).length > 0;
	}

	/**
	Takes records of another instance, or of an earlier run.

	@param records The records.
	@returns Those that are changed by it, as they are now.
	*/
	merge(records: readonly SuspectRecord[]): readonly SuspectRecord[] {
		const changed: SuspectRecord[] = [];
		for (const {fingerprint, ends} of records) {
			const held = this.#suspects.get(fingerprint);
			const merged = mergeEnds(held?.record.ends ?? [], ends);
			if (merged !== undefined) {
				changed.push(this.#hold({fingerprint, ends: merged}, held));
			}
		}

		return changed;
	}

	/**
	Forgets what is too old to count.

	@param now Milliseconds since the epoch.
	*/
	forget(now: number): void {
		for (const [fingerprint, {record: {ends}}] of this.#suspects) {
			if (ends.every(({at}) => now - at >= forgetMilliseconds)) {
				this.#suspects.delete(fingerprint);
			}
		}
	}

	#hold(record: SuspectRecord, held: Held | undefined): SuspectRecord {
		const isTold = held?.changedAt !== undefined || record.ends.length >= toldEnds;
		this.#suspects.set(record.fingerprint, {record, changedAt: isTold ? this.#next() : undefined});
		if (this.#suspects.size > this.#capacity) {
			this.#dropLeast();
		}

		return record;
	}

	/** Drops the one with the fewest ends, the oldest of these: requests that are new cannot push out one that is proven. */
	#dropLeast(): void {
		let least: SuspectRecord | undefined;
		for (const {record} of this.#suspects.values()) {
			if (least === undefined || compareWeight(record, least) < 0) {
				least = record;
			}
		}

		if (least !== undefined) {
			this.#suspects.delete(least.fingerprint);
		}
	}

	#next(): number {
		this.#changes++;
		return this.#changes;
	}
}

function unclearedOf({ends}: SuspectRecord): readonly ServerEnd[] {
	return ends.filter(({isCleared}) => !isCleared);
}

/** Ends that are not fresh any more leave the request one end short of the next quarantine. */
function countEnds(record: SuspectRecord | undefined, now: number): number {
	let fresh = 0;
	let old = 0;
	for (const {at} of record === undefined ? [] : unclearedOf(record)) {
		if (now - at < freshMilliseconds) {
			fresh++;
		} else if (now - at < forgetMilliseconds) {
			old++;
		}
	}

	return fresh + Math.min(old, quarantineEnds - 1);
}

/** The union of two lists, bounded, or undefined where the second adds nothing to the first. */
function mergeEnds(known: readonly ServerEnd[], added: readonly ServerEnd[]): readonly ServerEnd[] | undefined {
	const merged = new Map(known.map(end => [end.process, end]));
	for (const end of added) {
		const before = merged.get(end.process);
		if (before === undefined || (end.isCleared && !before.isCleared)) {
			merged.set(end.process, {...end, at: before?.at ?? end.at});
		}
	}

	const ends = [...merged.values()].toSorted((one, other) => one.at - other.at).slice(-maximumEnds);
	return ends.every(end => known.includes(end)) ? undefined : ends;
}

function compareWeight(one: SuspectRecord, other: SuspectRecord): number {
	const [ends, otherEnds] = [unclearedOf(one).length, unclearedOf(other).length];
	return ends === otherEnds ? latestOf(one) - latestOf(other) : ends - otherEnds;
}

function latestOf({ends}: SuspectRecord): number {
	return ends.at(-1)?.at ?? 0;
}
