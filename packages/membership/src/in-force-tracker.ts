import {type Revision, toRevision, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay} from './configuration-relay.js';

/** Whether a revision is in force everywhere, and where not. */
export type InForceAnswer = {
	readonly complete: boolean;
	/** The zones with a lease that may still run under an earlier revision. */
	readonly waitingFor: readonly ZoneId[];
};

/** What a tracker needs. */
export type InForceTrackerOptions = {
	readonly relay: ConfigurationRelay;
	/** The length of a lease that the leader grants. */
	readonly leaseMilliseconds: number;
	/** When this instance became leader, on the monotonic clock. */
	readonly leaderSince: number;
};

/**
Tells, on the leader, which revision is in force on every instance that may still serve new work.

A new leader does not know the leases that the former one granted; it waits until all of them have run out.

@example
```ts
tracker.look({revision, now, zones}).complete;
```
*/
export class InForceTracker {
	readonly #options: InForceTrackerOptions;
	#inForce = toRevision(0);

	constructor(options: InForceTrackerOptions) {
		this.#options = options;
	}

	/** The highest revision that was found in force everywhere. */
	get inForce(): Revision {
		return this.#inForce;
	}

	/**
	Looks whether a revision is in force everywhere.

	@param question The revision, the monotonic time, and all zones that are known.
	@returns Whether it is, and which zones are still out.
	*/
	look({revision, now, zones}: {readonly revision: Revision; readonly now: number; readonly zones: readonly ZoneId[]}): InForceAnswer {
		if (revision <= this.#inForce) {
			return {complete: true, waitingFor: []};
		}

		const {relay, leaseMilliseconds, leaderSince} = this.#options;
		if (now < leaderSince + leaseMilliseconds) {
			return {complete: false, waitingFor: zones};
		}

		const waitingFor = relay.confirmed(now).filter(minimum => minimum.revision < revision).map(({zone}) => zone);
		if (waitingFor.length === 0) {
			this.#inForce = revision;
		}

		return {complete: waitingFor.length === 0, waitingFor};
	}
}
