import {
	type InstanceId, type ModelId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';

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

type Counts = Pick<VersionEvidence, 'answers' | 'failures' | 'latencySum'> & Required<Pick<VersionEvidence, 'started' | 'startSum'>>;

/** The maximum number of counters; beyond it the least recently used ones, such as those of removed versions, are discarded. */
const maximumCounters = 512;

/**
Counts the answers of each version as seen by this entry instance, as evidence for the evaluation of rollouts.

@example
```ts
const counter = new EvidenceCounter({entry: instance, run});
counter.record(answer);
```
*/
export class EvidenceCounter {
	readonly #labels: Pick<VersionEvidence, 'entry' | 'run'>;
	readonly #counters = new Map<string, VersionEvidence & Counts>();

	constructor(labels: {readonly entry: InstanceId; readonly run: string}) {
		this.#labels = labels;
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
		return [...this.#counters.values()].filter(({service}) => services.has(service));
	}

	#update({service, version, route, model = '' as ModelId}: AnswerSource, change: (counts: Counts) => Partial<Counts>): void {
		const key = [service, version, route, model].join(' ');
		const known = this.#counters.get(key) ?? {
			...this.#labels, service, version, route, model, answers: 0, failures: 0, latencySum: 0, started: 0, startSum: 0,
		};
		this.#counters.delete(key);
		this.#counters.set(key, {...known, ...change(known)});
		const oldest = this.#counters.keys().next();
		if (this.#counters.size > maximumCounters && !oldest.done) {
			this.#counters.delete(oldest.value);
		}
	}
}
