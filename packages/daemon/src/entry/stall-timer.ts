import {timeoutAfterInput} from '@valehitch/transport';

/**
Raises a signal when nothing has happened for a while; what arrived while this process was held up counts as having happened.

@example
```ts
const stall = new StallTimer(10_000);
stall.touch();
stall.clear();
```
*/
export class StallTimer {
	readonly #controller = new AbortController();
	readonly #milliseconds: number;
	#stopTimeout: (() => void) | undefined;

	/** @param milliseconds How long nothing may happen. */
	constructor(milliseconds: number) {
		this.#milliseconds = milliseconds;
		this.touch();
	}

	/** The signal; raised at most once. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Whether nothing happened for too long. */
	get expired(): boolean {
		return this.#controller.signal.aborted;
	}

	/** Notes that something happened. */
	touch(): void {
		this.clear();
		this.#stopTimeout = timeoutAfterInput(this.#milliseconds, () => {
			this.#controller.abort();
		});
	}

	/** Ends the timer, until something happens. */
	clear(): void {
		this.#stopTimeout?.();
	}
}
