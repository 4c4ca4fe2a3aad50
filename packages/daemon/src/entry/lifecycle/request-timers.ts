import {type Clock} from '@valehitch/core';
import {type RequestTimer} from '@valehitch/routing';
import {setTimeoutAfterPoll} from '@valehitch/transport';

/** Options of {@linkcode RequestTimers}. */
export type RequestTimersOptions = {
	readonly clock: Clock;
	/** Called when a timer expires. */
	readonly onExpired: (timer: RequestTimer) => void;
};

/**
The timers of one request.

@example
```ts
timers.set('deadline', clock.monotonic() + 5000);
timers.clearAll();
```
*/
export class RequestTimers {
	readonly #options: RequestTimersOptions;
	readonly #timers = new Map<RequestTimer, () => void>();

	constructor(options: RequestTimersOptions) {
		this.#options = options;
	}

	/**
	Sets a timer; a timer that is already set is rescheduled.

	@param timer The timer.
	@param at When it expires, in milliseconds of the monotonic clock.
	*/
	set(timer: RequestTimer, at: number): void {
		this.clear(timer);
		const {clock, onExpired} = this.#options;
		const milliseconds = Math.max(0, at - clock.monotonic());
		// Input that arrived before the deadline is processed first, even if this process was paused.
		this.#timers.set(timer, setTimeoutAfterPoll(milliseconds, () => {
			this.#timers.delete(timer);
			onExpired(timer);
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
