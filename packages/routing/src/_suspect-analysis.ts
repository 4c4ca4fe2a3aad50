import {type PromptPartFingerprint, type SuspectFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';
import {blamePromptParts, type SuspectedPart} from './blame-prompt-parts.js';
import {isPromptPart} from './prompt-part-fingerprint.js';
import {type SuspectRecord, type SuspectStatus} from './suspect-record.js';

/** One exit may be a coincidence, and so may a second while servers fail one after another; a third process that exits is taken as proof. */
const quarantineThreshold = 3;
const doubtfulThreshold = 2;
/** This many processes are proof against a part already if they exited at two different times. */
const manyProcesses = 5;
/** How long an exit counts fully: ten minutes, after which the request may be sent once more, which reveals a wrong verdict. */
const fullWeightMilliseconds = 600_000;
/** How long an exit counts at all: an hour, within which one more exit is enough for another quarantine. */
export const retentionMilliseconds = 3_600_000;
/** Exits within this time of each other, in milliseconds, count as one against a part, since a power failure ends many processes at once, all with some part in common. */
const sameEventMilliseconds = 100;
/** How long an exit does not count against a part yet, in milliseconds, so that what other instances found about it has arrived. */
const settlingMilliseconds = 150;

/** A record with its uncleared exits that still count. */
type Subject = {
	readonly record: SuspectRecord;
	readonly exits: ReadonlyMap<string, number>;
};

/**
Judges which requests and parts of prompts crash servers, from all records of a registry at one time.

An exit counts against a request unless a part of prompts explains it better: a part that had more exits, or as many without being in the request. A part is blamed for what no such request explains.
*/
export class SuspectAnalysis {
	/** The time from which the result may differ without a change of the records, in milliseconds since the epoch. */
	readonly validUntil: number;
	readonly #now: number;
	readonly #subjects = new Map<SuspectFingerprint, Subject>();
	/** The parts that were in progress at each process. */
	readonly #partsAt = new Map<string, Subject[]>();
	readonly #blamed = new Set<SuspectFingerprint>();
	/** The processes whose exits a blamed part explains. */
	readonly #explainedByParts = new Set<string>();
	readonly #explained = new Set<string>();

	constructor(records: Iterable<SuspectRecord>, now: number) {
		this.#now = now;
		let validUntil = Number.POSITIVE_INFINITY;
		for (const record of records) {
			const subject = {record, exits: currentExits(record, now)};
			if (subject.exits.size > 0) {
				this.#add(subject);
				validUntil = Math.min(validUntil, nextChangeOf(subject, now));
			}
		}

		this.validUntil = validUntil;
		this.#blameRequests();
		this.#blameParts();
	}

	/** The requests and parts that are quarantined. */
	get blamed(): ReadonlySet<SuspectFingerprint> {
		return this.#blamed;
	}

	/**
	Returns the status of a request or a part by its own exits.

	@param fingerprint The request or the part.
	@returns The status.
	*/
	statusOf(fingerprint: SuspectFingerprint): SuspectStatus {
		if (this.#blamed.has(fingerprint)) {
			return 'quarantined';
		}

		const count = this.#unexplainedExits(fingerprint);
		if (count >= doubtfulThreshold) {
			return 'doubtful';
		}

		return count > 0 ? 'suspect' : 'unknown';
	}

	#add(subject: Subject): void {
		this.#subjects.set(subject.record.fingerprint, subject);
		if (!isPromptPart(subject.record.fingerprint)) {
			return;
		}

		for (const process of subject.exits.keys()) {
			const parts = this.#partsAt.get(process) ?? [];
			parts.push(subject);
			this.#partsAt.set(process, parts);
		}
	}

	#blameRequests(): void {
		for (const subject of this.#subjects.values()) {
			const {record: {fingerprint}, exits} = subject;
			if (isPromptPart(fingerprint) || exits.size < quarantineThreshold) {
				continue;
			}

			const own = [...exits].filter(([process]) => !this.#hasBetterExplanation(process, subject));
			if (countByAge(own.map(([, at]) => at), this.#now) >= quarantineThreshold) {
				this.#blamed.add(fingerprint);
				addAll(this.#explained, exits.keys());
			}
		}
	}

	#hasBetterExplanation(process: string, {record, exits}: Subject): boolean {
		for (const part of this.#partsAt.get(process) ?? []) {
			const isOwn = record.parts?.includes(part.record.fingerprint as PromptPartFingerprint) ?? false;
			if (part.exits.size > exits.size || (part.exits.size === exits.size && !isOwn)) {
				return true;
			}
		}

		return false;
	}

	#blameParts(): void {
		const times = new Map<string, number>();
		const parts: SuspectedPart[] = [];
		for (const {record: {fingerprint, depth = 0, answeredAt}, exits} of this.#subjects.values()) {
			const settled = [...exits].filter(([process, at]) => isSettled(at, this.#now) && !this.#explained.has(process));
			if (!isPromptPart(fingerprint) || settled.length < quarantineThreshold) {
				continue;
			}

			const wasAnswered = answeredAt !== undefined && this.#now - answeredAt < fullWeightMilliseconds;
			parts.push({
				fingerprint, depth, wasAnswered, processes: new Set(settled.map(([process]) => process)),
			});
			for (const [process, at] of settled) {
				times.set(process, at);
			}
		}

		const blamed = blamePromptParts(parts, {
			isProof: processes => this.#isProof(processes.map(process => times.get(process)!)),
		});
		for (const fingerprint of blamed) {
			this.#blamed.add(fingerprint);
			const processes = this.#subjects.get(fingerprint)!.exits.keys();
			addAll(this.#explainedByParts, processes);
		}

		addAll(this.#explained, this.#explainedByParts);
	}

	#isProof(times: readonly number[]): boolean {
		const events = countEvents(times, this.#now);
		return events >= quarantineThreshold || (events >= doubtfulThreshold && countByAge(times, this.#now) >= manyProcesses);
	}

	#unexplainedExits(fingerprint: SuspectFingerprint): number {
		const exits = this.#subjects.get(fingerprint)?.exits ?? new Map<string, number>();
		const explained = isPromptPart(fingerprint) ? this.#explained : this.#explainedByParts;
		const times = [...exits].filter(([process]) => !explained.has(process)).map(([, at]) => at);
		return isPromptPart(fingerprint) ? countEvents(times, this.#now) : countByAge(times, this.#now);
	}
}

function currentExits({ends}: SuspectRecord, now: number): ReadonlyMap<string, number> {
	return new Map(ends.filter(({isCleared, at}) => !isCleared && now - at < retentionMilliseconds).map(({process, at}) => [process, at]));
}

function isSettled(at: number, now: number): boolean {
	// The clock of the instance that saw the exit may be ahead.
	return at > now || now - at >= settlingMilliseconds;
}

/** Counts exits. Those past their full weight count up to one below the quarantine threshold. */
function countByAge(times: readonly number[], now: number): number {
	const recent = times.filter(at => now - at < fullWeightMilliseconds).length;
	return recent + Math.min(times.length - recent, quarantineThreshold - 1);
}

/** Counts exits at different times. */
function countEvents(times: readonly number[], now: number): number {
	const events: number[] = [];
	for (const at of times.toSorted((one, other) => one - other)) {
		if (at - (events.at(-1) ?? Number.NEGATIVE_INFINITY) >= sameEventMilliseconds) {
			events.push(at);
		}
	}

	return countByAge(events, now);
}

/** Returns the next time at which an exit of a record counts differently. */
function nextChangeOf({record, exits}: Subject, now: number): number {
	const settling = isPromptPart(record.fingerprint) ? [settlingMilliseconds] : [];
	const changes = [...exits.values()].flatMap(at => [...settling, fullWeightMilliseconds, retentionMilliseconds].map(age => at + age));
	return Math.min(...changes.filter(change => change > now));
}
