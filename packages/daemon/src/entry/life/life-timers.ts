import {type Clock} from '@valehitch/core';
import {type RequestTimer} from '@valehitch/routing';

/** What the timers need. */
export type LifeTimersOptions = {
	readonly clock: Clock;
	/** Called when a timer is due. */
	readonly onDue: (timer: RequestTimer) => void;
};

/**
The timers of one request.

@example
```ts
timers.set('deadline', clock.monotonic() + 5000);
timers.clearAll();
```
*/
export class LifeTimers {
	readonly #options: LifeTimersOptions;
	readonly #timers = new Map<RequestTimer, NodeJS.Timeout>();

	constructor(options: LifeTimersOptions) {
		this.#options = options;
	}

	/**
	Sets a timer; one that is set already moves.

	@param timer The timer.
	@param at When it is due, in milliseconds on the monotonic clock.
	*/
	set(timer: RequestTimer, at: number): void {
		this.clear(timer);
		const {clock, onDue} = this.#options;
		const milliseconds = Math.max(0, at - clock.monotonic());
		this.#timers.set(timer, setTimeout(() => {
			this.#timers.delete(timer);
			onDue(timer);
		}, milliseconds));
	}

	/**
	Clears a timer.

	@param timer The timer.
	*/
	clear(timer: RequestTimer): void {
		clearTimeout(this.#timers.get(timer));
		this.#timers.delete(timer);
	}

	/** Clears all timers. */
	clearAll(): void {
		for (const timer of this.#timers.keys()) {
			this.clear(timer);
		}
	}
}
