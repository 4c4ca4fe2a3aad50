import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay, InForceTracker, type InForceAnswer} from '@valehitch/membership';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {type ConfigurationKeeper} from './configuration-keeper.js';

/** What a leader's view needs. */
export type LeaderViewOptions = {
	readonly base: DaemonBase;
	readonly control: ControlPart;
	readonly keeper: ConfigurationKeeper;
	readonly relay: ConfigurationRelay;
	/** The zones that are known. */
	readonly zones: () => readonly ZoneId[];
};

type Reign = {
	hasCaughtUp: boolean;
};

/**
What an instance with the control role adds: the committed configuration, and as the leader the leases and what is in force.

@example
```ts
leader.refresh();
leader.inForce()?.complete;
```
*/
export class LeaderView {
	readonly #options: LeaderViewOptions;
	#tracker: InForceTracker | undefined;
	/** The stretch of leadership at hand. */
	#reign: Reign | undefined;
	#reported = 0;

	constructor(options: LeaderViewOptions) {
		this.#options = options;
	}

	/** Whether this instance leads under a valid leader lease. */
	get leads(): boolean {
		const {base: {clock}, control} = this.#options;
		return control.isLeader() && clock.monotonic() < (control.leaseValidUntil() ?? Number.NEGATIVE_INFINITY);
	}

	/** The leader, where the control role of this instance knows it. */
	get leader(): InstanceId | undefined {
		const {base, control} = this.#options;
		return this.leads ? base.settings.instance : control.leader();
	}

	/**
	Takes the committed configuration and renews the own lease where this instance leads.

	@returns Whether this instance leads with a valid leader lease.
	*/
	refresh(): boolean {
		const {base: {clock, settings}, control, keeper, relay} = this.#options;
		const committed = control.state()?.effective;
		if (committed === undefined) {
			return false;
		}

		const now = clock.monotonic();
		const {leads} = this;
		keeper.offer(committed);
		keeper.settle({granted: leads && this.#reign?.hasCaughtUp === true});
		if (!leads) {
			this.#tracker = undefined;
			this.#reign = undefined;
			return false;
		}

		if (!this.#hasCaughtUp()) {
			return false;
		}

		this.#tracker ??= new InForceTracker({
			relay, leaseMilliseconds: settings.timing.configurationLeaseMilliseconds, leaderSince: now,
		});
		relay.renewAsLeader({revision: committed.revision, validUntil: control.leaseValidUntil() ?? now}, now);
		this.#report();
		return true;
	}

	/**
	Tells whether the newest revision is in force everywhere.

	@returns The answer; undefined where this instance does not lead.
	*/
	inForce(): InForceAnswer | undefined {
		if (!this.refresh()) {
			return undefined;
		}

		return this.#look();
	}

	/** A new leader grants nothing before all that was committed earlier is applied here. */
	#hasCaughtUp(): boolean {
		if (this.#reign === undefined) {
			const reign: Reign = {hasCaughtUp: false};
			this.#reign = reign;
			void this.#options.control.catchUp().then(hasCaughtUp => {
				reign.hasCaughtUp = hasCaughtUp;
				if (!hasCaughtUp && this.#reign === reign) {
					this.#reign = undefined;
				}
			});
		}

		return this.#reign.hasCaughtUp;
	}

	#look(): InForceAnswer | undefined {
		const {base: {clock}, control, zones} = this.#options;
		const revision = control.state()?.effective.revision;
		return revision === undefined ? undefined : this.#tracker?.look({revision, now: clock.monotonic(), zones: zones()});
	}

	#report(): void {
		const answer = this.#look();
		const inForce = this.#tracker?.inForce ?? 0;
		if (answer?.complete === true && inForce > this.#reported) {
			this.#reported = inForce;
			this.#options.base.timeline.record('configuration-in-force', {revision: inForce, details: {everywhere: true}});
		}
	}
}
