import {type SuspectFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';
import {
	blameRequests, type ExitTimes, type PartExits, type SuspectedRequest,
} from './_blame-requests.js';
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
	readonly exits: ExitTimes;
};

/**
Judges which requests and parts of prompts crash servers, from all records of a registry at one time.

A part of prompts is blamed only for exits that no blamed request explains.
*/
export class SuspectAnalysis {
	/** The time from which the result may differ without a change of the records, in milliseconds since the epoch. */
	readonly validUntil: number;
	readonly #now: number;
	readonly #subjects = new Map<SuspectFingerprint, Subject>();
	/** The parts that were in progress at each process. */
	readonly #partsAt = new Map<string, PartExits[]>();
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
		const {record: {fingerprint}, exits} = subject;
		this.#subjects.set(fingerprint, subject);
		if (!isPromptPart(fingerprint)) {
			return;
		}

		const part = {fingerprint, exits};
		for (const process of exits.keys()) {
			const parts = this.#partsAt.get(process) ?? [];
			parts.push(part);
			this.#partsAt.set(process, parts);
		}
	}

	#blameRequests(): void {
		const requests: SuspectedRequest[] = [];
		for (const {record: {fingerprint, parts = []}, exits} of this.#subjects.values()) {
			if (!isPromptPart(fingerprint)) {
				requests.push({fingerprint, parts, exits});
			}
		}

		const blamed = blameRequests(requests, {
			partsAt: this.#partsAt,
			threshold: quarantineThreshold,
			isProof: times => countByAge(times, this.#now) >= quarantineThreshold,
		});
		for (const {fingerprint, exits} of blamed) {
			this.#blamed.add(fingerprint);
			addAll(this.#explained, exits.keys());
		}
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
