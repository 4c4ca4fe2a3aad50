import {type Clock} from './clock.js';

/** How a suspension is told. */
export type SuspensionWatchOptions = {
	/** How far the time of day must run ahead of the monotonic clock between two looks, in milliseconds; 20 by default: below the drift margin of a leader's lease (30), and above what the two clocks differ by while the machine runs (a few). */
	readonly threshold?: number;
};

const defaultThreshold = 20;
/** Two readings of the monotonic clock that lie further apart, in milliseconds, say that the process was held up between them, and that the time of day beside them says nothing. */
const longestReading = 2;
/** After as many the next look decides. */
const maximumReadings = 3;

/**
Tells when the machine may last have been suspended: the monotonic clock stands still then, the time of day goes on, and a lease that rests on the monotonic clock alone looks valid after its end.

The runtime has no clock that counts the time of a suspension and cannot be set. A time of day that is set forward looks the same, so that whoever asks must only lose what one confirmation gives back.

@example
```ts
const suspension = new SuspensionWatch(clock);
suspension.lastWake(); // minus infinity, until the machine was suspended
```
*/
export class SuspensionWatch {
	readonly #clock: Clock;
	readonly #threshold: number;
	#lead = 0;
	#wokeAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, {threshold = defaultThreshold}: SuspensionWatchOptions = {}) {
		this.#clock = clock;
		this.#threshold = threshold;
		this.#lead = this.#currentLead();
	}

	/**
	Looks at the clocks.

	@returns When the machine may last have woken, in milliseconds on the monotonic clock; minus infinity for never.
	*/
	lastWake(): number {
		const lead = this.#currentLead();
		if (lead - this.#lead > this.#threshold) {
			this.#wokeAt = this.#clock.monotonic();
		}

		// A slow drift of the time of day, or a jump back, is the new measure.
		this.#lead = lead;
		return this.#wokeAt;
	}

	/** How far the time of day is ahead of the monotonic clock; read again where the process was held up meanwhile, which would look like a jump. */
	#currentLead(): number {
		for (let reading = 0; reading < maximumReadings; reading++) {
			const before = this.#clock.monotonic();
			const timeOfDay = this.#clock.now().getTime();
			if (this.#clock.monotonic() - before < longestReading) {
				return timeOfDay - before;
			}
		}

		return this.#lead;
	}
}
