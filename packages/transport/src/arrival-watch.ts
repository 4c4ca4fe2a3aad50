import {type Clock} from '@valehitch/core';

/** A pause after which data may have been sent long before it was read, in milliseconds. A process that takes the address of another one needs longer to start. */
const longPauseMilliseconds = 500;
/** The time of steady arrival after which data is known to be recent, in milliseconds. What was sent before a pause is read within it. */
const steadyMilliseconds = 1000;

/**
Tells whether the data of a connection may have been sent long before it was read, as after a suspension of this process or an interruption of the network.

Both clocks are read, since the monotonic one may stop during a suspension.

@example
```ts
const arrivals = new ArrivalWatch(clock);
socket.on('data', () => arrivals.record());
arrivals.mayBeLate();
```
*/
export class ArrivalWatch {
	readonly #clock: Clock;
	#monotonic: number;
	#wall: number;
	/** When the last long pause ended, in milliseconds on the monotonic clock. */
	#resumedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#monotonic = clock.monotonic();
		this.#wall = clock.now().getTime();
	}

	/** Records that data arrived. */
	record(): void {
		const monotonic = this.#clock.monotonic();
		const wall = this.#clock.now().getTime();
		if (Math.max(monotonic - this.#monotonic, wall - this.#wall) >= longPauseMilliseconds) {
			this.#resumedAt = monotonic;
		}

		this.#monotonic = monotonic;
		this.#wall = wall;
	}

	/**
	Checks whether the latest data may have been sent long ago.

	@returns Whether there was a long pause since or shortly before it arrived.
	*/
	mayBeLate(): boolean {
		const monotonic = this.#clock.monotonic();
		const wall = this.#clock.now().getTime();
		return Math.max(monotonic - this.#monotonic, wall - this.#wall) >= longPauseMilliseconds || this.#monotonic - this.#resumedAt < steadyMilliseconds;
	}
}
