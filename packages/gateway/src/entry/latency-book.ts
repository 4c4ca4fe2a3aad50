import {type Clock} from '@valehitch/core';

/** The weight of the newest time in the mean. */
const weight = 0.15;
/** The weight with which the calm time follows the mean up: some thousand answers, so that a burst of some seconds does not pass for calm. */
const calmWeight = 0.001;
/** After this time without an answer half of what the mean is above the calm time is forgotten, in milliseconds: queues of servers empty within seconds, and what is not used because it was slow would never be seen to be fast again. */
const halfLifeMilliseconds = 2000;

type Times = {
	/** Milliseconds. */
	readonly mean: number;
	/** The lowest mean of late, in milliseconds. */
	readonly calm: number;
	/** When the mean was brought up to date, in milliseconds on the monotonic clock. */
	readonly at: number;
};

/**
Mean times to the first byte, by what they depend on; without answers they fade to the calm times.

@example
```ts
const book = new LatencyBook(clock);
book.note('route-1 large', 640);
book.expected('route-1 large', 500);
```
*/
export class LatencyBook {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #times = new Map<string, Times>();

	/**
	@param clock The clock.
	*/
	constructor(clock: Pick<Clock, 'monotonic'>) {
		this.#clock = clock;
	}

	/**
	Takes a time.

	@param key What it depends on.
	@param milliseconds The time.
	*/
	note(key: string, milliseconds: number): void {
		const at = this.#clock.monotonic();
		const before = this.#timesOf(key) ?? {mean: milliseconds, calm: milliseconds, at};
		const mean = before.mean + (weight * (milliseconds - before.mean));
		this.#times.set(key, {mean, calm: Math.min(mean, before.calm + (calmWeight * (mean - before.calm))), at});
	}

	/**
	The mean time.

	@param key What it depends on.
	@param fallback The time where none was seen, in milliseconds.
	@returns Milliseconds.
	*/
	expected(key: string, fallback: number): number {
		return this.#timesOf(key)?.mean ?? fallback;
	}

	/** The times as they have faded until now. */
	#timesOf(key: string): Times | undefined {
		const times = this.#times.get(key);
		if (times === undefined) {
			return undefined;
		}

		const now = this.#clock.monotonic();
		const left = 2 ** ((times.at - now) / halfLifeMilliseconds);
		return {...times, mean: times.calm + (left * (times.mean - times.calm)), at: now};
	}
}
