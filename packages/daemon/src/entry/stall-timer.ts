import {setTimeoutAfterPoll} from '@valehitch/transport';

/**
Detects inactivity. Input that arrived while this process was paused is processed before the timer can expire.

@example
```ts
const stall = new StallTimer(10_000);
await Promise.race([output, stall.waitForExpiry()]);
stall.touch();
```
*/
export class StallTimer {
	/** The permitted inactivity. */
	readonly milliseconds: number;
	#stopTimeout: (() => void) | undefined;
	#onExpired: (() => void) | undefined;

	/** @param milliseconds The permitted inactivity. */
	constructor(milliseconds: number) {
		this.milliseconds = milliseconds;
		this.touch();
	}

	/** Waits until the timer expires. A later call replaces an earlier one, which then never resolves. */
	async waitForExpiry(): Promise<void> {
		return new Promise(resolve => {
			this.#onExpired = resolve;
		});
	}

	/** Restarts the timer after activity. */
	touch(): void {
		this.clear();
		this.#stopTimeout = setTimeoutAfterPoll(this.milliseconds, () => {
			this.#onExpired?.();
		});
	}

	/** Stops the timer until the next activity. */
	clear(): void {
		this.#stopTimeout?.();
	}
}
