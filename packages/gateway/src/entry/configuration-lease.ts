/** How long a confirmation counts. */
export type ConfigurationLeaseOptions = {
	/** Milliseconds. */
	readonly duration: number;
};

/**
Tells whether the configuration of an entry instance was lately known to be the newest; without that, a key may have been taken away meanwhile.

Only the monotonic clock counts: it goes on while the process is frozen, so that a lease that ran out meanwhile is noticed before the next send.

@example
```ts
const lease = new ConfigurationLease({duration: 4500});
lease.confirm(now - 120);
lease.isValid(now);
```
*/
export class ConfigurationLease {
	readonly #duration: number;
	#confirmedAt = Number.NEGATIVE_INFINITY;

	constructor({duration}: ConfigurationLeaseOptions) {
		this.#duration = duration;
	}

	/**
	Notes that the configuration was the newest at a time.

	@param at Milliseconds on the monotonic clock.
	*/
	confirm(at: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, at);
	}

	/** Whether the configuration was ever confirmed in this run of the process. */
	get wasConfirmed(): boolean {
		return this.#confirmedAt !== Number.NEGATIVE_INFINITY;
	}

	/**
	Tells whether the lease holds.

	@param now Milliseconds on the monotonic clock.
	@returns Whether the last confirmation is recent enough.
	*/
	isValid(now: number): boolean {
		return this.age(now) < this.#duration;
	}

	/**
	The age of the last confirmation.

	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; infinite before the first.
	*/
	age(now: number): number {
		return now - this.#confirmedAt;
	}
}
