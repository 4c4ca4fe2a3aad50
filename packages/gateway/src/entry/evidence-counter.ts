import {
	type Clock, type ModelId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {emptyWaitTable, recordWait, waitIntervalOf} from '../rollouts/wait-table.js';

/** What an answer is counted by. */
export type AnswerSource = {
	readonly service: ServiceId;
	readonly version: VersionId;
	readonly route: RouteId;
	readonly model: ModelId | undefined;
};

/** A successful or failed answer of a backend server. */
export type ObservedAnswer = AnswerSource & {
	readonly isFailure: boolean;
	/** The time to first byte, in milliseconds; undefined for a failure. */
	readonly latency: number | undefined;
};

/** A send that has no answer yet. */
export type WaitingSend = {
	/** Records the end of the wait, and whether an answer has begun. Without one, only what was counted before remains, since the send may have been cancelled for any reason. */
	readonly end: (options: {readonly isAnswered: boolean}) => void;
};

type Counts = Pick<VersionEvidence, 'answers' | 'failures' | 'latencySum'> & Required<Pick<VersionEvidence, 'started' | 'startSum' | 'waits'>>;

type Wait = {
	readonly source: AnswerSource;
	/** When it was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
	/** The number of intervals that are counted. */
	counted: number;
};

/** The maximum number of counters; beyond it the least recently used ones, such as those of removed versions, are discarded. */
const maximumCounters = 512;

/**
Counts the answers of each version as seen by this entry instance, as evidence for the evaluation of rollouts.

@example
```ts
const counter = new EvidenceCounter({entry: instance, run, clock});
const wait = counter.beginWait(source);
wait.end({isAnswered: true});
counter.record(answer);
```
*/
export class EvidenceCounter {
	readonly #labels: Pick<VersionEvidence, 'entry' | 'run'>;
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #counters = new Map<string, VersionEvidence & Counts>();
	readonly #waiting = new Set<Wait>();

	constructor({clock, ...labels}: Pick<VersionEvidence, 'entry' | 'run'> & {readonly clock: Pick<Clock, 'monotonic'>}) {
		this.#clock = clock;
		this.#labels = labels;
	}

	/**
	Records that a request is sent. A send that still waits is evidence too, since its answer takes longer than it has waited.

	@param source What its answer is counted by.
	@returns The send, whose end has to be recorded.
	*/
	beginWait(source: AnswerSource): WaitingSend {
		const wait: Wait = {source, sentAt: this.#clock.monotonic(), counted: 0};
		this.#waiting.add(wait);
		return {
			end: ({isAnswered}) => {
				if (this.#waiting.delete(wait) && isAnswered) {
					this.#countWait(wait, {isAnswered});
				}
			},
		};
	}

	/**
	Records that an answer has started. A slow version shows here long before its streams end.

	@param source What the answer is counted by.
	@param latency The time to first byte, in milliseconds.
	*/
	recordStart(source: AnswerSource, latency: number): void {
		this.#update(source, ({started, startSum}) => ({started: started + 1, startSum: startSum + latency}));
	}

	/**
	Records the end of an answer.

	@param answer The answer.
	*/
	record({isFailure, latency = 0, ...source}: ObservedAnswer): void {
		this.#update(source, ({answers, failures, latencySum}) => ({
			answers: answers + 1,
			failures: failures + (isFailure ? 1 : 0),
			latencySum: latencySum + (isFailure ? 0 : latency),
		}));
	}

	/**
	Returns the counters of some services.

	@param services The services.
	@returns The counters.
	*/
	countersOf(services: ReadonlySet<ServiceId>): readonly VersionEvidence[] {
		for (const wait of this.#waiting) {
			if (services.has(wait.source.service)) {
				this.#countWait(wait, {isAnswered: false});
			}
		}

		return [...this.#counters.values()].filter(({service}) => services.has(service));
	}

	/** Counts the intervals that the send has waited through and, if it is answered, the one in which it was. */
	#countWait(wait: Wait, {isAnswered}: {readonly isAnswered: boolean}): void {
		const first = wait.counted;
		const end = waitIntervalOf(this.#clock.monotonic() - wait.sentAt);
		if (end > first || isAnswered) {
			wait.counted = end;
			this.#update(wait.source, ({waits}) => ({waits: recordWait(waits, {first, end, isAnswered})}));
		}
	}

	#update({service, version, route, model = '' as ModelId}: AnswerSource, change: (counts: Counts) => Partial<Counts>): void {
		const key = [service, version, route, model].join(' ');
		const known = this.#counters.get(key) ?? {
			...this.#labels, service, version, route, model, answers: 0, failures: 0, latencySum: 0, started: 0, startSum: 0, waits: emptyWaitTable,
		};
		this.#counters.delete(key);
		this.#counters.set(key, {...known, ...change(known)});
		const oldest = this.#counters.keys().next();
		if (this.#counters.size > maximumCounters && !oldest.done) {
			this.#counters.delete(oldest.value);
		}
	}
}
