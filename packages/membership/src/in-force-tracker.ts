import {type Revision, toRevision, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay} from './configuration-relay.js';

/** Whether a revision is in force everywhere, and the zones where it may not be. */
export type InForceStatus = {
	readonly complete: boolean;
	/** The zones with a lease that may still run under an earlier revision. */
	readonly waitingFor: readonly ZoneId[];
};

/** Options of `InForceTracker`. */
export type InForceTrackerOptions = {
	readonly relay: ConfigurationRelay;
	/** The duration of a lease that the leader grants. */
	readonly leaseMilliseconds: number;
	/** When this instance became leader, on the monotonic clock. */
	readonly leaderSince: number;
};

/**
Tracks, on the leader, which revision is in force on every instance that may still serve new work.

A new leader has no record of the leases that its predecessor granted, so it waits until all of them have expired.

@example
```ts
tracker.check({revision, now, zones}).complete;
```
*/
export class InForceTracker {
	readonly #options: InForceTrackerOptions;
	#inForce = toRevision(0);

	constructor(options: InForceTrackerOptions) {
		this.#options = options;
	}

	/** The highest revision known to be in force everywhere. */
	get inForce(): Revision {
		return this.#inForce;
	}

	/**
	Checks whether a revision is in force everywhere.

	@param options The revision, the monotonic time, and all known zones.
	@returns Whether the revision is in force, and the zones that are still missing.
	*/
	check({revision, now, zones}: {readonly revision: Revision; readonly now: number; readonly zones: readonly ZoneId[]}): InForceStatus {
		if (revision <= this.#inForce) {
			return {complete: true, waitingFor: []};
		}

		const {relay, leaseMilliseconds, leaderSince} = this.#options;
		if (now < leaderSince + leaseMilliseconds) {
			return {complete: false, waitingFor: zones};
		}

		const waitingFor = relay.minimumRevisions(now).filter(confirmed => confirmed.revision < revision).map(({zone}) => zone);
		if (waitingFor.length === 0) {
			this.#inForce = revision;
		}

		return {complete: waitingFor.length === 0, waitingFor};
	}
}
