import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type ConfigurationRelay, InForceTracker, type InForceStatus} from '@valehitch/membership';
import {type ControlPart} from '../control/start-control.js';
import {type DaemonBase} from '../daemon-base.js';
import {type ConfigurationStore} from './configuration-store.js';

/** Options of a {@linkcode LeaderView}. */
export type LeaderViewOptions = {
	readonly base: DaemonBase;
	readonly control: ControlPart;
	readonly configurations: ConfigurationStore;
	readonly relay: ConfigurationRelay;
	/** Returns the known zones. */
	readonly zones: () => readonly ZoneId[];
};

type LeaderTerm = {
	hasCaughtUp: boolean;
};

/**
The state that an instance with the control role contributes: the committed configuration and, as the leader, the leases and the revision in force.

@example
```ts
view.refresh();
view.inForce()?.complete;
```
*/
export class LeaderView {
	readonly #options: LeaderViewOptions;
	#tracker: InForceTracker | undefined;
	/** The current term as leader. */
	#term: LeaderTerm | undefined;
	#recordedRevision = 0;

	constructor(options: LeaderViewOptions) {
		this.#options = options;
	}

	/** Whether this instance is the leader with a valid leader lease. */
	get isLeader(): boolean {
		const {base: {clock}, control} = this.#options;
		return control.isLeader() && clock.monotonic() < (control.leaseValidUntil() ?? Number.NEGATIVE_INFINITY);
	}

	/** The leader, if known to the control role of this instance. */
	get leader(): InstanceId | undefined {
		const {base, control} = this.#options;
		return this.isLeader ? base.settings.instance : control.leader();
	}

	/**
	Applies the committed configuration and, on the leader, renews this instance's own configuration lease.

	@returns Whether this instance is the leader with a valid leader lease and has applied all earlier commits.
	*/
	refresh(): boolean {
		const {base: {clock, settings}, control, configurations, relay} = this.#options;
		const committed = control.state()?.effective;
		if (committed === undefined) {
			return false;
		}

		const now = clock.monotonic();
		const {isLeader} = this;
		configurations.offer(committed);
		configurations.activateNewest({granted: isLeader && this.#term?.hasCaughtUp === true});
		if (!isLeader) {
			this.#tracker = undefined;
			this.#term = undefined;
			return false;
		}

		if (!this.#hasCaughtUp()) {
			return false;
		}

		this.#tracker ??= new InForceTracker({
			relay, leaseMilliseconds: settings.timing.configurationLeaseMilliseconds, leaderSince: now,
		});
		relay.renewAsLeader({revision: committed.revision, validUntil: control.leaseValidUntil() ?? now}, now);
		this.#recordInForce();
		return true;
	}

	/**
	Returns whether the newest revision is in force on all instances.

	@returns The answer, or undefined unless this instance is the leader and has applied all earlier commits.
	*/
	inForce(): InForceStatus | undefined {
		if (!this.refresh()) {
			return undefined;
		}

		return this.#queryInForce();
	}

	/** Returns whether a new leader has applied all earlier commits; it grants no leases before. */
	#hasCaughtUp(): boolean {
		if (this.#term === undefined) {
			const term: LeaderTerm = {hasCaughtUp: false};
			this.#term = term;
			void this.#options.control.catchUp().then(hasCaughtUp => {
				term.hasCaughtUp = hasCaughtUp;
				if (!hasCaughtUp && this.#term === term) {
					this.#term = undefined;
				}
			});
		}

		return this.#term.hasCaughtUp;
	}

	#queryInForce(): InForceStatus | undefined {
		const {base: {clock}, control, zones} = this.#options;
		const revision = control.state()?.effective.revision;
		return revision === undefined ? undefined : this.#tracker?.check({revision, now: clock.monotonic(), zones: zones()});
	}

	#recordInForce(): void {
		const answer = this.#queryInForce();
		const inForce = this.#tracker?.inForce ?? 0;
		if (answer?.complete === true && inForce > this.#recordedRevision) {
			this.#recordedRevision = inForce;
			this.#options.base.timeline.record('configuration-in-force', {revision: inForce, details: {everywhere: true}});
		}
	}
}
