import {type ServiceId} from '@valehitch/core';
import {evidenceKey, type VersionEvidence} from './version-evidence.js';

/** Counters of entry instances that were replaced are dropped beyond this many. */
const maximumCounters = 8192;

/**
Holds the newest counters of each entry instance, whatever way they came; counters only grow, so that a resend changes nothing.

@example
```ts
const table = new EvidenceTable();
table.take(evidence);
table.of(service);
```
*/
export class EvidenceTable {
	readonly #counters = new Map<string, VersionEvidence>();

	/** All counters. */
	get all(): readonly VersionEvidence[] {
		return [...this.#counters.values()];
	}

	/**
	Takes counters.

	@param evidence The counters.
	*/
	take(evidence: readonly VersionEvidence[]): void {
		for (const counter of evidence) {
			const key = evidenceKey(counter);
			const known = this.#counters.get(key);
			if (known === undefined || counter.answers >= known.answers) {
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
	The counters of one service.

	@param service The service.
	@returns The counters.
	*/
	of(service: ServiceId): readonly VersionEvidence[] {
		return this.all.filter(counter => counter.service === service);
	}
}
