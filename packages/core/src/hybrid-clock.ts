import {type Clock} from './clock.js';

/** A timestamp that respects causality across processes. Ordered by wall-clock time, then by counter. */
export type HybridTimestamp = {
	/** Unix time in milliseconds. */
	readonly wall: number;
	readonly counter: number;
};

/**
A hybrid logical clock (Kulkarni and others, 2014). Its timestamps are close to the wall clock and later than every observed timestamp.

@example
```ts
const clock = new HybridClock(systemClock);
clock.observe(timestampFromPeer);
const timestamp = clock.next();
```
*/
export class HybridClock {
	readonly #clock: Clock;
	#last: HybridTimestamp = {wall: 0, counter: 0};

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	Creates the timestamp of the next event.

	@returns A timestamp later than all previous and all observed ones.
	*/
	next(): HybridTimestamp {
		const wall = this.#clock.now().getTime();
		this.#last = wall > this.#last.wall
			? {wall, counter: 0}
			: {wall: this.#last.wall, counter: this.#last.counter + 1};
		return this.#last;
	}

	/**
	Advances the clock to a timestamp of another process.

	@param stamp The timestamp received with a message.
	*/
	observe(stamp: HybridTimestamp): void {
		if (compareTimestamps(stamp, this.#last) > 0) {
			this.#last = stamp;
		}
	}
}

/**
Compares two timestamps, for sorting.

@param left The first timestamp.
@param right The second timestamp.
@returns A negative number if the left one is earlier, a positive number if it is later, 0 if they are equal.
@example
```ts
timestamps.sort(compareTimestamps);
```
*/
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
	return left.wall - right.wall || left.counter - right.counter;
}
