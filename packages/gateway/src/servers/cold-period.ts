/** An announcement of a server, as far as it says whether the server is cold. */
export type ColdReport = {
	/** Increases with each announcement of the process. */
	readonly sequence: number;
	/** How much longer the server stays cold, in milliseconds; absent if it is not cold. */
	readonly coldRemaining?: number | undefined;
};

/** Options of {@linkcode ColdPeriod.require}. */
export type RequiredColdPeriod = {
	/** The end of the period unless an announcement says otherwise, in milliseconds on the monotonic clock. */
	readonly until: number;
	/** The time before which announcements may extend the period but not end it, in milliseconds on the monotonic clock: they may have been sent before the server became cold. */
	readonly confirmedFrom: number;
};

/**
Tracks until when a server is cold. Between two announcements the remaining time runs on.

@example
```ts
const cold = new ColdPeriod({sequence: 1, coldRemaining: 3000}, now);
cold.remaining(now + 1000); // 2000
```
*/
export class ColdPeriod {
	#sequence: number;
	#until: number;
	#confirmedFrom = Number.NEGATIVE_INFINITY;

	/**
	@param report The first announcement of the process.
	@param now Milliseconds on the monotonic clock.
	*/
	constructor({sequence, coldRemaining = 0}: ColdReport, now: number) {
		this.#sequence = sequence;
		this.#until = now + coldRemaining;
	}

	/**
	Applies an announcement of the same process. A later one replaces what earlier ones said; the same one may be received again over another path, and then only extends the period.

	@param report The announcement.
	@param now Milliseconds on the monotonic clock.
	*/
	apply({sequence, coldRemaining = 0}: ColdReport, now: number): void {
		if (sequence < this.#sequence) {
			return;
		}

		const until = now + coldRemaining;
		const mayShorten = sequence > this.#sequence && now >= this.#confirmedFrom;
		this.#sequence = sequence;
		this.#until = mayShorten ? until : Math.max(this.#until, until);
	}

	/**
	Treats the server as cold although it did not say so, because it may have become cold since its last announcement.

	@param period The period.
	*/
	require({until, confirmedFrom}: RequiredColdPeriod): void {
		this.#until = Math.max(this.#until, until);
		this.#confirmedFrom = Math.max(this.#confirmedFrom, confirmedFrom);
	}

	/**
	Returns how much longer the server is cold.

	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if it is not cold.
	*/
	remaining(now: number): number {
		return Math.max(0, this.#until - now);
	}
}
