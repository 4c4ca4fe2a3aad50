import {type PromptPartFingerprint, type RequestFingerprint, type SuspectFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';
import {maximumExitsPerRequest} from './_merge-suspect-record.js';
import {blameRequests, type SuspectedRequest} from './blame-requests.js';
import {blamePromptParts, type SuspectedPart} from './blame-prompt-parts.js';
import {type SuspectStatus} from './suspect-record.js';
import {
	type ExitTimes, fullWeightMilliseconds, settlingMilliseconds, type SuspectSubject,
} from './_suspect-subject.js';

/** One exit may be a coincidence, and so may a second while servers fail one after another; a third process that exits is taken as proof. */
export const quarantineThreshold = 3;
const doubtfulThreshold = 2;
/** This many processes are proof against a part already if they exited at two different times. */
const manyProcesses = 5;
/** Exits within this time of each other, in milliseconds, count as one against a part, since a power failure ends many processes at once, all with some part in common. */
const sameEventMilliseconds = 100;

/**
Judges which requests and parts of prompts crash servers, at one time, from those with enough exits for a verdict.

An exit counts against a request unless a part of prompts explains it better: a part that had more exits, or as many without being in the request. A part is blamed for what no such request explains.
*/
export class SuspectAnalysis {
	readonly #now: number;
	readonly #blamed = new Set<SuspectFingerprint>();
	/** The processes whose exits a blamed part explains. */
	readonly #explainedByParts = new Set<string>();
	readonly #explained = new Set<string>();

	constructor(subjects: readonly SuspectSubject[], now: number) {
		this.#now = now;
		const parts = subjects.filter(({isPart}) => isPart);
		this.#blameRequests(subjects.filter(({isPart}) => !isPart), parts);
		this.#blameParts(parts);
	}

	/** The requests and parts that are quarantined. */
	get blamed(): ReadonlySet<SuspectFingerprint> {
		return this.#blamed;
	}

	/**
	Returns the status of a request or a part by its own exits.

	@param subject What is recorded of the request or the part.
	@returns The status.
	*/
	statusOf(subject: SuspectSubject): SuspectStatus {
		if (this.#blamed.has(subject.record.fingerprint)) {
			return 'quarantined';
		}

		const count = this.#unexplainedExits(subject);
		if (count >= doubtfulThreshold) {
			return 'doubtful';
		}

		return count > 0 ? 'suspect' : 'unknown';
	}

	#blameRequests(subjects: readonly SuspectSubject[], parts: readonly SuspectSubject[]): void {
		const requests: SuspectedRequest[] = subjects.map(({record, exits}) => ({
			fingerprint: record.fingerprint as RequestFingerprint, parts: record.parts ?? [], exits,
		}));
		const blamed = blameRequests(requests, {
			parts: parts.map(({record: {answeredAt, fingerprint}, exits}) => ({
				fingerprint: fingerprint as PromptPartFingerprint, exits, wasAnswered: this.#wasAnsweredRecently(answeredAt),
			})),
			threshold: quarantineThreshold,
			maximumExits: maximumExitsPerRequest,
			isProof: times => countByAge(times, this.#now) >= quarantineThreshold,
			isPartProof: times => this.#isProof(times.filter(at => isSettled(at, this.#now))),
		});
		for (const {fingerprint, exits} of blamed) {
			this.#blamed.add(fingerprint);
			addAll(this.#explained, exits.keys());
		}
	}

	#blameParts(subjects: readonly SuspectSubject[]): void {
		const times = new Map<string, number>();
		const parts: SuspectedPart[] = [];
		const exitsOf = new Map<SuspectFingerprint, ExitTimes>();
		for (const {record: {fingerprint, depth = 0, answeredAt}, exits} of subjects) {
			const settled = [...exits].filter(([process, at]) => isSettled(at, this.#now) && !this.#explained.has(process));
			if (settled.length < quarantineThreshold) {
				continue;
			}

			parts.push({
				fingerprint: fingerprint as PromptPartFingerprint, depth, wasAnswered: this.#wasAnsweredRecently(answeredAt), processes: new Set(settled.map(([process]) => process)),
			});
			exitsOf.set(fingerprint, exits);
			for (const [process, at] of settled) {
				times.set(process, at);
			}
		}

		const blamed = blamePromptParts(parts, {
			isProof: processes => this.#isProof(processes.map(process => times.get(process)!)),
		});
		for (const fingerprint of blamed) {
			this.#blamed.add(fingerprint);
			addAll(this.#explainedByParts, exitsOf.get(fingerprint)!.keys());
		}

		addAll(this.#explained, this.#explainedByParts);
	}

	#wasAnsweredRecently(answeredAt: number | undefined): boolean {
		return answeredAt !== undefined && this.#now - answeredAt < fullWeightMilliseconds;
	}

	#isProof(times: readonly number[]): boolean {
		const events = countEvents(times, this.#now);
		return events >= quarantineThreshold || (events >= doubtfulThreshold && countByAge(times, this.#now) >= manyProcesses);
	}

	#unexplainedExits({isPart, exits}: SuspectSubject): number {
		const explained = isPart ? this.#explained : this.#explainedByParts;
		const times = [...exits].filter(([process]) => !explained.has(process)).map(([, at]) => at);
		return isPart ? countEvents(times, this.#now) : countByAge(times, this.#now);
	}
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
