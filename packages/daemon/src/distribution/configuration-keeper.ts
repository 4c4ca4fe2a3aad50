import {
	type Clock, type EffectiveConfiguration, emptyConfiguration, type Revision, toRevision,
} from '@valehitch/core';
import {type ConfigurationRelay} from '@valehitch/membership';
import type Logger from 'bunyan';
import {type Timeline} from '../timeline.js';
import {activate, type ActiveConfiguration} from './active-configuration.js';
import {packConfiguration} from './pack-configuration.js';

/** What a keeper needs. */
export type ConfigurationKeeperOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly timeline: Timeline;
	readonly relay: ConfigurationRelay;
	/** The length of a lease; a first configuration without one is used only after it. */
	readonly leaseMilliseconds: number;
};

type Activated = {
	readonly leased: ActiveConfiguration;
	readonly isolated: ActiveConfiguration;
};

/**
Keeps the newest configuration and puts it in force; a revision never goes back.

@example
```ts
keeper.offer(effective);
keeper.settle({granted: true});
```
*/
export class ConfigurationKeeper {
	readonly #options: ConfigurationKeeperOptions;
	readonly #startedAt: number;
	#newest: EffectiveConfiguration = {revision: toRevision(0), document: emptyConfiguration, rollouts: {}};
	#packed: Uint8Array | undefined;
	#activated: Activated | undefined;
	#failedRevision = toRevision(0);

	constructor(options: ConfigurationKeeperOptions) {
		this.#options = options;
		this.#startedAt = options.clock.monotonic();
	}

	/** The newest revision that is held. */
	get revision(): Revision {
		return this.#newest.revision;
	}

	/** The newest configuration, packed for a link. */
	get packed(): Uint8Array {
		this.#packed ??= packConfiguration(this.#newest);
		return this.#packed;
	}

	/** The configuration in force; before the first an empty one of revision 0. */
	get effective(): EffectiveConfiguration {
		return this.#activated?.leased.effective ?? {revision: toRevision(0), document: emptyConfiguration, rollouts: {}};
	}

	/**
	The configuration that requests are served by, marked as isolated where the lease has run out.

	@returns It, or undefined before the first.
	*/
	active(): ActiveConfiguration | undefined {
		const {relay, clock} = this.#options;
		return relay.isLeaseValid(clock.monotonic()) ? this.#activated?.leased : this.#activated?.isolated;
	}

	/**
	Takes a committed configuration, if it is higher.

	@param effective The configuration.
	*/
	offer(effective: EffectiveConfiguration): void {
		if (effective.revision > this.#newest.revision) {
			this.#newest = effective;
			this.#packed = undefined;
		}
	}

	/**
	Puts the newest configuration in force.

	@param options Whether the leader's word stands behind it; the first one without waits for one lease, so that a newer one can come.
	@returns Whether it was put in force now.
	*/
	settle({granted}: {readonly granted: boolean}): boolean {
		const {clock, relay, leaseMilliseconds} = this.#options;
		const waits = !granted && this.#activated === undefined && clock.monotonic() < this.#startedAt + leaseMilliseconds;
		if (waits || this.#newest.revision <= Math.max(relay.revision, this.#failedRevision)) {
			return false;
		}

		return this.#activate(this.#newest);
	}

	#activate(effective: EffectiveConfiguration): boolean {
		const {relay, log, timeline} = this.#options;
		return activate(effective).caseOf({
			Left: failed => {
				this.#failedRevision = effective.revision;
				log.error({failure: failed, revision: effective.revision}, 'The configuration could not be put in force');
				return false;
			},
			Right: next => {
				this.#activated = {leased: next, isolated: {...next, isolated: true}};
				relay.adopt(effective.revision);
				timeline.record('configuration-in-force', {revision: effective.revision});
				return true;
			},
		});
	}
}
