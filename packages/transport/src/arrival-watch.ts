import {type Clock, Stopwatch} from '@valehitch/core';

/** A pause after which data may have been sent long before it was read, in milliseconds. A process that takes the address of another one needs longer to start. */
const longPauseMilliseconds = 500;
/** The time of steady arrival after which data is known to be recent, in milliseconds. What was sent before a pause is read within it. */
const steadyMilliseconds = 1000;

/**
Tells whether the data of a connection may have been sent long before it was read, as after a suspension of this process or an interruption of the network.

@example
```ts
const arrivals = new ArrivalWatch(clock);
socket.on('data', () => arrivals.record());
arrivals.mayBeLate();
```
*/
export class ArrivalWatch {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #sinceLatest: Stopwatch;
	/** When the latest data arrived, and when the last long pause ended, in milliseconds on the monotonic clock. */
	#latestAt: number;
	#resumedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#sinceLatest = new Stopwatch(clock);
		this.#latestAt = clock.monotonic();
	}

	/** Records that data arrived. */
	record(): void {
		this.#latestAt = this.#clock.monotonic();
		if (this.#sinceLatest.elapsed() >= longPauseMilliseconds) {
			this.#resumedAt = this.#latestAt;
		}

		this.#sinceLatest.restart();
	}

	/**
	Checks whether the latest data may have been sent long ago.

	@returns Whether there was a long pause since or shortly before it arrived.
	*/
	mayBeLate(): boolean {
		return this.#sinceLatest.elapsed() >= longPauseMilliseconds || this.#latestAt - this.#resumedAt < steadyMilliseconds;
	}
}
