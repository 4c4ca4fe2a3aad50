import {
	type Clock, type EffectiveConfiguration, emptyConfiguration, type Revision, toRevision,
} from '@valehitch/core';
import {type ConfigurationRelay} from '@valehitch/membership';
import type Logger from 'bunyan';
import {type Timeline} from '../timeline.js';
import {activate, type ActiveConfiguration} from './active-configuration.js';
import {packConfiguration} from './pack-configuration.js';

/** Options of a {@linkcode ConfigurationStore}. */
export type ConfigurationStoreOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly timeline: Timeline;
	readonly relay: ConfigurationRelay;
	/** The duration of a lease, in milliseconds. Without a lease, the first configuration is activated only after this time. */
	readonly leaseMilliseconds: number;
};

type Activated = {
	readonly leased: ActiveConfiguration;
	readonly isolated: ActiveConfiguration;
};

/**
Stores the newest configuration and activates it. The revision never decreases.

@example
```ts
configurations.offer(effective);
configurations.activateNewest({granted: true});
```
*/
export class ConfigurationStore {
	readonly #options: ConfigurationStoreOptions;
	readonly #startedAt: number;
	#newest: EffectiveConfiguration = {revision: toRevision(0), document: emptyConfiguration, rollouts: {}};
	#packed: Uint8Array | undefined;
	#activated: Activated | undefined;
	#failedRevision = toRevision(0);

	constructor(options: ConfigurationStoreOptions) {
		this.#options = options;
		this.#startedAt = options.clock.monotonic();
	}

	/** The newest stored revision. */
	get revision(): Revision {
		return this.#newest.revision;
	}

	/** The newest configuration, compressed for transfer. */
	get packed(): Uint8Array {
		this.#packed ??= packConfiguration(this.#newest);
		return this.#packed;
	}

	/** The configuration in force; an empty one with revision 0 until the first is activated. */
	get effective(): EffectiveConfiguration {
		return this.#activated?.leased.effective ?? {revision: toRevision(0), document: emptyConfiguration, rollouts: {}};
	}

	/**
	Returns the configuration for serving requests, marked as isolated if the lease has expired.

	@returns The configuration, or undefined until the first is activated.
	*/
	active(): ActiveConfiguration | undefined {
		const {relay, clock} = this.#options;
		return relay.isLeaseValid(clock.monotonic()) ? this.#activated?.leased : this.#activated?.isolated;
	}

	/**
	Stores a committed configuration if its revision is higher than the stored one.

	@param effective The configuration.
	*/
	offer(effective: EffectiveConfiguration): void {
		if (effective.revision > this.#newest.revision) {
			this.#newest = effective;
			this.#packed = undefined;
		}
	}

	/**
	Activates the newest configuration.

	@param options `granted`: whether a lease of the leader confirms the revision. Without it, the first activation waits for the duration of one lease, so that a newer configuration can arrive.
	@returns Whether a configuration was activated.
	*/
	activateNewest({granted}: {readonly granted: boolean}): boolean {
		const {clock, relay, leaseMilliseconds} = this.#options;
		const mustWait = !granted && this.#activated === undefined && clock.monotonic() < this.#startedAt + leaseMilliseconds;
		if (mustWait || this.#newest.revision <= Math.max(relay.revision, this.#failedRevision)) {
			return false;
		}

		return this.#activate(this.#newest);
	}

	#activate(effective: EffectiveConfiguration): boolean {
		const {relay, log, timeline} = this.#options;
		return activate(effective).caseOf({
			Left: failed => {
				this.#failedRevision = effective.revision;
				log.error({failure: failed, revision: effective.revision}, 'Could not activate the configuration');
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
