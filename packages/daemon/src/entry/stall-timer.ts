/**
Raises a signal when nothing has happened for a while.

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
	#timer: NodeJS.Timeout | undefined;

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
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#controller.abort();
		}, this.#milliseconds);
	}

	/** Ends the timer, until something happens. */
	clear(): void {
		clearTimeout(this.#timer);
	}
}
