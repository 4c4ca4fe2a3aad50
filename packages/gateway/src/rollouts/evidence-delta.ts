import {evidenceAmount} from './evidence-amount.js';
import {evidenceKey, type VersionEvidence} from './version-evidence.js';

/** All counters are sent again after this time, in milliseconds, because a message may be lost and its receiver may have restarted. */
const fullResendMilliseconds = 2000;

/**
Selects the counters that have changed since they were last sent to a receiver, so that unchanged counters cause no traffic.

@example
```ts
const delta = new EvidenceDelta();
send(delta.takeChanged(table.all, now));
```
*/
export class EvidenceDelta {
	#sent = new Map<string, number>();
	#lastFullAt = Number.NEGATIVE_INFINITY;

	/**
	Selects the counters that have changed since they were last selected, and periodically all of them.

	@param evidence All counters.
	@param now The current time in milliseconds on the monotonic clock.
	@returns The counters to send.
	*/
	takeChanged(evidence: readonly VersionEvidence[], now: number): readonly VersionEvidence[] {
		if (now - this.#lastFullAt >= fullResendMilliseconds) {
			this.#lastFullAt = now;
			this.#sent = new Map();
		}

		const changed: VersionEvidence[] = [];
		for (const counter of evidence) {
			const key = evidenceKey(counter);
			const amount = evidenceAmount(counter);
			if (this.#sent.get(key) !== amount) {
				this.#sent.set(key, amount);
				changed.push(counter);
			}
		}

		return changed;
	}
}
