import {evidenceKey, type VersionEvidence} from './version-evidence.js';

/** All counters are told again after this time, in milliseconds, since a message may be lost and its receiver may have started again. */
const fullMilliseconds = 2000;

/**
Picks the counters that one receiver does not have yet, so that counters which rest cost nothing.

@example
```ts
const delta = new EvidenceDelta();
send(delta.next(table.all, now));
```
*/
export class EvidenceDelta {
	#told = new Map<string, number>();
	#fullAt = Number.NEGATIVE_INFINITY;

	/**
	Picks the counters that changed since they were last picked; all of them from time to time.

	@param evidence All the counters.
	@param now Milliseconds on the monotonic clock.
	@returns The counters to send.
	*/
	next(evidence: readonly VersionEvidence[], now: number): readonly VersionEvidence[] {
		if (now - this.#fullAt >= fullMilliseconds) {
			this.#fullAt = now;
			this.#told = new Map();
		}

		const changed: VersionEvidence[] = [];
		for (const counter of evidence) {
			const key = evidenceKey(counter);
			if (this.#told.get(key) !== counter.answers) {
				this.#told.set(key, counter.answers);
				changed.push(counter);
			}
		}

		return changed;
	}
}
