import {type Clock} from './clock.js';

/**
Measures elapsed time, also that of a suspension, in which the monotonic clock may stop. Setting the wall clock forward counts as elapsed time too.

@example
```ts
const stopwatch = new Stopwatch(clock);
stopwatch.elapsed(); // Milliseconds
```
*/
export class Stopwatch {
	readonly #clock: Clock;
	#monotonic = 0;
	#wall = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.restart();
	}

	/** Starts again from 0. */
	restart(): void {
		this.#monotonic = this.#clock.monotonic();
		this.#wall = this.#clock.now().getTime();
	}

	/**
	Returns the elapsed time.

	@returns Milliseconds, by the clock that shows more.
	*/
	elapsed(): number {
		return Math.max(this.#clock.monotonic() - this.#monotonic, this.#clock.now().getTime() - this.#wall);
	}
}
