import {type SuspensionDetector} from '@valehitch/core';
import {decideByAge} from '@valehitch/routing';

/** Options of {@linkcode ConfigurationLease}. */
export type ConfigurationLeaseOptions = {
	/** How long a confirmation is valid, in milliseconds. */
	readonly duration: number;
	/** How long a confirmation allows refusing callers for good, in milliseconds; shorter than the time within which a change has to apply. */
	readonly finalRefusalDuration: number;
	/** Reports when the machine may last have resumed from a suspension. */
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
	/** Called when the machine may have been suspended, after which the age of the last confirmation is unknown. */
	readonly onSuspension: () => void;
};

/**
Tracks whether the configuration of an entry instance was recently confirmed to be current. Without a recent confirmation, an API key may have been revoked.

The monotonic clock advances while the process is paused, so a lease that expired in the meantime is noticed before the next send. It stops while the machine is suspended, so a suspension invalidates earlier confirmations. A single request to a control instance, which takes a few milliseconds, then renews the lease.

@example
```ts
const lease = new ConfigurationLease({duration: 4500, finalRefusalDuration: 1500, suspension, onSuspension});
lease.confirm(now - 120);
lease.isValid(now);
```
*/
export class ConfigurationLease {
	readonly #options: ConfigurationLeaseOptions;
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#isDoubted = false;
	/** The last resume that was handled, in milliseconds on the monotonic clock. */
	#wokeAt: number;

	constructor(options: ConfigurationLeaseOptions) {
		this.#options = options;
		this.#wokeAt = options.suspension.lastWake();
	}

	/**
	Records that the configuration was current at a given time.

	@param at Milliseconds on the monotonic clock. The request that led to the confirmation must have been sent after the machine last resumed.
	*/
	confirm(at: number): void {
		this.#checkSuspension();
		this.#confirmedAt = Math.max(this.#confirmedAt, at);
		this.#isDoubted &&= this.#confirmedAt === Number.NEGATIVE_INFINITY;
	}

	/** Whether the configuration has been confirmed since the process started. */
	get wasConfirmed(): boolean {
		return this.#isDoubted || this.#confirmedAt !== Number.NEGATIVE_INFINITY;
	}

	/** Whether the machine may have been suspended since the last confirmation; the next one has then already been requested. */
	get wasSuspended(): boolean {
		this.#checkSuspension();
		return this.#isDoubted;
	}

	/**
	Checks whether the lease is valid.

	@param now Milliseconds on the monotonic clock.
	@returns Whether the last confirmation is recent enough.
	*/
	isValid(now: number): boolean {
		return this.age(now) < this.#options.duration;
	}

	/**
	Checks whether the configuration may be the reason to refuse a caller for good, rather than for now.

	@param now Milliseconds on the monotonic clock.
	@returns Whether the last confirmation is recent enough.
	*/
	allowsFinalRefusal(now: number): boolean {
		const {duration, finalRefusalDuration} = this.#options;
		return decideByAge({
			use: 'final-refusal', age: this.age(now), currentFor: finalRefusalDuration, permitsFor: duration, wasAsked: true,
		}) === 'use';
	}

	/**
	Returns the age of the last confirmation.

	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; infinite before the first confirmation and after a suspension.
	*/
	age(now: number): number {
		this.#checkSuspension();
		return now - this.#confirmedAt;
	}

	#checkSuspension(): void {
		const {suspension, onSuspension} = this.#options;
		const wokeAt = suspension.lastWake();
		if (wokeAt > this.#wokeAt) {
			this.#wokeAt = wokeAt;
			this.#isDoubted = this.wasConfirmed;
			this.#confirmedAt = Number.NEGATIVE_INFINITY;
			onSuspension();
		}
	}
}
