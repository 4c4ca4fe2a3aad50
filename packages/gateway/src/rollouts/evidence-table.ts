import {type ServiceId} from '@valehitch/core';
import {evidenceAmount} from './evidence-amount.js';
import {evidenceKey, type VersionEvidence} from './version-evidence.js';

/** The maximum number of counters; the oldest are dropped beyond it, which removes those of entry instances that were replaced. */
const maximumCounters = 8192;

/**
Holds the newest counters of each entry instance, received directly or relayed. Counters only increase, so that merging is idempotent.

@example
```ts
const table = new EvidenceTable();
table.merge(evidence);
table.forService(service);
```
*/
export class EvidenceTable {
	readonly #counters = new Map<string, VersionEvidence>();

	/** All counters. */
	get all(): readonly VersionEvidence[] {
		return [...this.#counters.values()];
	}

	/**
	Merges received counters.

	@param evidence The counters.
	*/
	merge(evidence: readonly VersionEvidence[]): void {
		for (const counter of evidence) {
			const key = evidenceKey(counter);
			const known = this.#counters.get(key);
			if (known === undefined || evidenceAmount(counter) >= evidenceAmount(known)) {
				this.#counters.set(key, counter);
			}
		}

		for (const key of this.#counters.keys()) {
			if (this.#counters.size <= maximumCounters) {
				return;
			}

			this.#counters.delete(key);
		}
	}

	/**
	Lists the counters of a service.

	@param service The service.
	@returns The counters.
	*/
	forService(service: ServiceId): readonly VersionEvidence[] {
		return this.all.filter(counter => counter.service === service);
	}
}
