import {type Clock} from '@valehitch/core';
import {type RequestTimer} from '@valehitch/routing';
import {timeoutAfterInput} from '@valehitch/transport';

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
	readonly #timers = new Map<RequestTimer, () => void>();

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
		// An answer that is here by the deadline is taken, also where this process was held up.
		this.#timers.set(timer, timeoutAfterInput(milliseconds, () => {
			this.#timers.delete(timer);
			onDue(timer);
		}));
	}

	/**
	Clears a timer.

	@param timer The timer.
	*/
	clear(timer: RequestTimer): void {
		this.#timers.get(timer)?.();
		this.#timers.delete(timer);
	}

	/** Clears all timers. */
	clearAll(): void {
		for (const timer of this.#timers.keys()) {
			this.clear(timer);
		}
	}
}
