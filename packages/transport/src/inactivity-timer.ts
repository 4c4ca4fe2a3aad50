import {type Clock} from '@valehitch/core';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** Options of {@linkcode InactivityTimer}. */
export type InactivityTimerOptions = {
	/** The permitted time without activity, in milliseconds; 0 for no limit. */
	readonly timeout: number;
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Called when the time is over, with the time without activity in milliseconds; the timer is stopped then. */
	readonly onExpired: (inactive: number) => void;
};

/**
Detects inactivity with one timer, however often there is activity: {@linkcode InactivityTimer.touch} only notes the time, and the timer runs again for the rest when it expires. As with `setTimeoutAfterPoll`, input that arrived while the process was paused counts as activity.

@example
```ts
const timer = new InactivityTimer({timeout: 1500, clock, onExpired: () => socket.destroy()});
timer.start(clock.monotonic());
socket.on('data', () => timer.touch(clock.monotonic()));
```
*/
export class InactivityTimer {
	readonly #options: InactivityTimerOptions;
	#activeAt = 0;
	#stopTimeout: (() => void) | undefined;

	constructor(options: InactivityTimerOptions) {
		this.#options = options;
	}

	/**
	Starts the timer, from the beginning if it runs already.

	@param now Milliseconds on the monotonic clock.
	*/
	start(now: number): void {
		this.stop();
		this.#activeAt = now;
		if (this.#options.timeout > 0) {
			this.#runFor(this.#options.timeout);
		}
	}

	/**
	Records activity. A stopped timer remains stopped.

	@param now Milliseconds on the monotonic clock.
	*/
	touch(now: number): void {
		this.#activeAt = now;
	}

	/**
	Lets a timer that has expired run on, so that it expires again unless there is activity.

	@param milliseconds The time until then.
	*/
	extend(milliseconds: number): void {
		this.stop();
		this.#runFor(milliseconds);
	}

	/** Stops the timer. */
	stop(): void {
		this.#stopTimeout?.();
		this.#stopTimeout = undefined;
	}

	#runFor(milliseconds: number): void {
		this.#stopTimeout = setTimeoutAfterPoll(milliseconds, () => {
			const {timeout, clock, onExpired} = this.#options;
			const inactive = clock.monotonic() - this.#activeAt;
			if (inactive < timeout) {
				this.#runFor(Math.ceil(timeout - inactive));
				return;
			}

			this.#stopTimeout = undefined;
			onExpired(inactive);
		});
	}
}
