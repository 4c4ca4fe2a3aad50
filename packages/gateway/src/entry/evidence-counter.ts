import {
	type InstanceId, type ModelId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';

/** A successful or failed answer of a backend server. */
export type ObservedAnswer = {
	readonly service: ServiceId;
	readonly version: VersionId;
	readonly route: RouteId;
	readonly model: ModelId | undefined;
	readonly isFailure: boolean;
	/** The time to first byte, in milliseconds; undefined for a failure. */
	readonly latency: number | undefined;
};

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
	readonly #counters = new Map<string, VersionEvidence>();

	constructor(labels: {readonly entry: InstanceId; readonly run: string}) {
		this.#labels = labels;
	}

	/**
	Records an answer.

	@param answer The answer.
	*/
	record({service, version, route, model = '' as ModelId, isFailure, latency = 0}: ObservedAnswer): void {
		const key = [service, version, route, model].join(' ');
		const known = this.#counters.get(key) ?? {
			...this.#labels, service, version, route, model, answers: 0, failures: 0, latencySum: 0,
		};
		this.#counters.delete(key);
		this.#counters.set(key, {
			...known,
			answers: known.answers + 1,
			failures: known.failures + (isFailure ? 1 : 0),
			latencySum: known.latencySum + (isFailure ? 0 : latency),
		});
		const oldest = this.#counters.keys().next();
		if (this.#counters.size > maximumCounters && !oldest.done) {
			this.#counters.delete(oldest.value);
		}
	}

	/**
	Returns the counters of some services.

	@param services The services.
	@returns The counters.
	*/
	countersOf(services: ReadonlySet<ServiceId>): readonly VersionEvidence[] {
		return [...this.#counters.values()].filter(({service}) => services.has(service));
	}
}
