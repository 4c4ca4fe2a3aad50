import {
	type InstanceId, type ModelId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';

/** One answer of a backend server, good or not. */
export type AnswerSeen = {
	readonly service: ServiceId;
	readonly version: VersionId;
	readonly route: RouteId;
	readonly model: ModelId | undefined;
	readonly isFailure: boolean;
	/** The time to the first byte in milliseconds; undefined for a failure. */
	readonly latency: number | undefined;
};

/** The counters of versions that are gone are dropped beyond this many. */
const maximumCounters = 512;

/**
Counts what this entry instance sees of each version, for the judgement of roll-outs.

@example
```ts
const counter = new EvidenceCounter({entry: instance, run});
counter.note(seen);
```
*/
export class EvidenceCounter {
	readonly #names: Pick<VersionEvidence, 'entry' | 'run'>;
	readonly #counters = new Map<string, VersionEvidence>();

	constructor(names: {readonly entry: InstanceId; readonly run: string}) {
		this.#names = names;
	}

	/**
	Counts an answer.

	@param seen The answer.
	*/
	note({service, version, route, model = '' as ModelId, isFailure, latency = 0}: AnswerSeen): void {
		const key = [service, version, route, model].join(' ');
		const known = this.#counters.get(key) ?? {
			...this.#names, service, version, route, model, answers: 0, failures: 0, latencySum: 0,
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
	The counters of some services.

	@param services The services.
	@returns The counters.
	*/
	of(services: ReadonlySet<ServiceId>): readonly VersionEvidence[] {
		return [...this.#counters.values()].filter(({service}) => services.has(service));
	}
}
