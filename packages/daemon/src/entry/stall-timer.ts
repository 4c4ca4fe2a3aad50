import {type Clock} from '@valehitch/core';
import {setTimeoutAfterPoll} from '@valehitch/transport';

/** Options of {@linkcode StallTimer}. */
export type StallTimerOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
};

/**
Detects inactivity. Input that arrived while this process was paused is processed before the timer can expire.

@example
```ts
const stall = new StallTimer(10_000, {clock});
await Promise.race([output, stall.waitForExpiry()]);
stall.touch();
```
*/
export class StallTimer {
	/** The permitted inactivity. */
	readonly milliseconds: number;
	readonly #clock: StallTimerOptions['clock'];
	#touchedAt = 0;
	#stopTimeout: (() => void) | undefined;
	#onExpired: (() => void) | undefined;

	/**
	@param milliseconds The permitted inactivity.
	@param options The clock.
	*/
	constructor(milliseconds: number, {clock}: StallTimerOptions) {
		this.milliseconds = milliseconds;
		this.#clock = clock;
		this.touch();
	}

	/** The time since the last activity, in milliseconds. */
	get inactive(): number {
		return this.#clock.monotonic() - this.#touchedAt;
	}

	/** Waits until the timer expires. A later call replaces an earlier one, which then never resolves. */
	async waitForExpiry(): Promise<void> {
		return new Promise(resolve => {
			this.#onExpired = resolve;
		});
	}

	/** Restarts the timer after activity. */
	touch(): void {
		this.#touchedAt = this.#clock.monotonic();
		this.expireAgainAfter(this.milliseconds);
	}

	/**
	Restarts the timer without any activity.

	@param milliseconds The time until it expires.
	*/
	expireAgainAfter(milliseconds: number): void {
		this.clear();
		this.#stopTimeout = setTimeoutAfterPoll(milliseconds, () => {
			this.#onExpired?.();
		});
	}

	/** Stops the timer until the next activity. */
	clear(): void {
		this.#stopTimeout?.();
	}
}
