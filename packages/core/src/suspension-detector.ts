import {type Clock} from './clock.js';

/** Options of `SuspensionDetector`. */
export type SuspensionDetectorOptions = {
	/** How far the wall clock must run ahead of the monotonic clock between two calls, in milliseconds. Defaults to 20, which is below the drift margin of a leader's lease (30) and above the difference of the two clocks while the machine runs (a few milliseconds). */
	readonly threshold?: number;
};

const defaultThreshold = 20;
/** If two readings of the monotonic clock differ by this many milliseconds or more, the process was delayed between them, and the wall-clock reading taken in between is unusable. */
const maximumReadingMilliseconds = 2;
/** The number of attempts to read both clocks. If all are delayed, the next call decides. */
const maximumReadingAttempts = 3;

/**
Detects when the machine may last have been suspended. During a suspension the monotonic clock stops while the wall clock advances, so a lease that relies on the monotonic clock alone looks valid after it has expired.

The runtime offers no clock that includes suspended time and cannot be set. Setting the wall clock forward looks the same as a suspension, so a false detection must cost the caller no more than what one confirmation restores.

@example
```ts
const suspension = new SuspensionDetector(clock);
suspension.lastWake(); // -Infinity until the machine has been suspended
```
*/
export class SuspensionDetector {
	readonly #clock: Clock;
	readonly #threshold: number;
	#offset = 0;
	#lastWakeTime = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, {threshold = defaultThreshold}: SuspensionDetectorOptions = {}) {
		this.#clock = clock;
		this.#threshold = threshold;
		this.#offset = this.#measureOffset();
	}

	/**
	Reads the clocks and updates the detector.

	@returns When the machine may last have woken up, in milliseconds on the monotonic clock. -Infinity if never.
	*/
	lastWake(): number {
		const offset = this.#measureOffset();
		if (offset - this.#offset > this.#threshold) {
			this.#lastWakeTime = this.#clock.monotonic();
		}

		// The new offset is the reference from now on, so slow drift and backward jumps of the wall clock are not reported.
		this.#offset = offset;
		return this.#lastWakeTime;
	}

	/** Measures how far the wall clock is ahead of the monotonic clock. Retries if the process was delayed between the readings, which would look like a jump. */
	#measureOffset(): number {
		for (let attempt = 0; attempt < maximumReadingAttempts; attempt++) {
			const before = this.#clock.monotonic();
			const wallClock = this.#clock.now().getTime();
			if (this.#clock.monotonic() - before < maximumReadingMilliseconds) {
				return wallClock - before;
			}
		}

		return this.#offset;
	}
}
