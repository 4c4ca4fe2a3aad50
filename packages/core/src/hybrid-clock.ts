import {type Clock} from './clock.js';

/** A time stamp that follows cause and effect over processes: wall clock first, then a counter. */
export type HybridTimestamp = {
	/** Milliseconds since 1970. */
	readonly wall: number;
	readonly counter: number;
};

/**
A hybrid logical clock (Kulkarni and others, 2014): close to the wall clock, and later than every stamp that was seen.

@example
```ts
const stamps = new HybridClock(clock);
stamps.observe(stampFromPeer);
const stamp = stamps.next();
```
*/
export class HybridClock {
	readonly #clock: Clock;
	#last: HybridTimestamp = {wall: 0, counter: 0};

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	Makes the stamp of the next event.

	@returns A stamp later than all before and all that were observed.
	*/
	next(): HybridTimestamp {
		const wall = this.#clock.now().getTime();
		this.#last = wall > this.#last.wall
			? {wall, counter: 0}
			: {wall: this.#last.wall, counter: this.#last.counter + 1};
		return this.#last;
	}

	/**
	Takes note of a stamp of another process.

	@param stamp The stamp that came with a message.
	*/
	observe(stamp: HybridTimestamp): void {
		if (compareTimestamps(stamp, this.#last) > 0) {
			this.#last = stamp;
		}
	}
}

/**
Compares two stamps.

@param left One stamp.
@param right The other.
@returns Below 0 if the left is earlier, above 0 if it is later, 0 if they are equal.
@example
```ts
stamps.sort(compareTimestamps);
```
*/
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
	return left.wall - right.wall || left.counter - right.counter;
}
