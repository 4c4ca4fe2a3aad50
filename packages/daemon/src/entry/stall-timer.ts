import {timeoutAfterInput} from '@valehitch/transport';

/**
Tells when nothing has happened for a while; what arrived while this process was held up counts as having happened.

@example
```ts
const stall = new StallTimer(10_000);
await Promise.race([output, stall.expired()]);
stall.touch();
```
*/
export class StallTimer {
	readonly #milliseconds: number;
	#stopTimeout: (() => void) | undefined;
	#onExpired: (() => void) | undefined;

	/** @param milliseconds How long nothing may happen. */
	constructor(milliseconds: number) {
		this.#milliseconds = milliseconds;
		this.touch();
	}

	/** Waits until nothing has happened for too long; a later call takes the place of an earlier one. */
	async expired(): Promise<void> {
		return new Promise(resolve => {
			this.#onExpired = resolve;
		});
	}

	/** Notes that something happened. */
	touch(): void {
		this.clear();
		this.#stopTimeout = timeoutAfterInput(this.#milliseconds, () => {
			this.#onExpired?.();
		});
	}

	/** Ends the timer, until something happens. */
	clear(): void {
		this.#stopTimeout?.();
	}
}
