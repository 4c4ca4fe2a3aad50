import {type SuspensionWatch} from '@valehitch/core';

/** How long a confirmation counts. */
export type ConfigurationLeaseOptions = {
	/** Milliseconds. */
	readonly duration: number;
	/** Tells when the machine may last have been suspended. */
	readonly suspension: Pick<SuspensionWatch, 'lastWake'>;
	/** Called where the machine may have been suspended, so that the age of the last confirmation is not known any more. */
	readonly onDoubt: () => void;
};

/**
Tells whether the configuration of an entry instance was lately known to be the newest; without that, a key may have been taken away meanwhile.

The monotonic clock goes on while the process is frozen, so that a lease that ran out meanwhile is noticed before the next send. While the machine is suspended it stands still: a confirmation from before counts no more then, and one question to control, a few milliseconds, brings the next.

@example
```ts
const lease = new ConfigurationLease({duration: 4500, suspension, onDoubt});
lease.confirm(now - 120);
lease.isValid(now);
```
*/
export class ConfigurationLease {
	readonly #options: ConfigurationLeaseOptions;
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#isDoubted = false;
	/** The wake that is taken account of, in milliseconds on the monotonic clock. */
	#wokeAt: number;

	constructor(options: ConfigurationLeaseOptions) {
		this.#options = options;
		this.#wokeAt = options.suspension.lastWake();
	}

	/**
	Notes that the configuration was the newest at a time.

	@param at Milliseconds on the monotonic clock, from a question that was sent since the machine last woke.
	*/
	confirm(at: number): void {
		this.#look();
		this.#confirmedAt = Math.max(this.#confirmedAt, at);
		this.#isDoubted &&= this.#confirmedAt === Number.NEGATIVE_INFINITY;
	}

	/** Whether the configuration was ever confirmed in this run of the process. */
	get wasConfirmed(): boolean {
		return this.#isDoubted || this.#confirmedAt !== Number.NEGATIVE_INFINITY;
	}

	/** Whether the machine may have been suspended since the last confirmation, so that the next one is on its way. */
	get isDoubted(): boolean {
		this.#look();
		return this.#isDoubted;
	}

	/**
	Tells whether the lease holds.

	@param now Milliseconds on the monotonic clock.
	@returns Whether the last confirmation is recent enough.
	*/
	isValid(now: number): boolean {
		return this.age(now) < this.#options.duration;
	}

	/**
	The age of the last confirmation.

	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; infinite before the first, and where it is not known.
	*/
	age(now: number): number {
		this.#look();
		return now - this.#confirmedAt;
	}

	#look(): void {
		const {suspension, onDoubt} = this.#options;
		const wokeAt = suspension.lastWake();
		if (wokeAt > this.#wokeAt) {
			this.#wokeAt = wokeAt;
			this.#isDoubted = this.wasConfirmed;
			this.#confirmedAt = Number.NEGATIVE_INFINITY;
			onDoubt();
		}
	}
}
