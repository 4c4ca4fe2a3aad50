import {type Clock, type ServiceId} from '@valehitch/core';
import {type DecisionLog} from '../logs/decision-log.js';
import {isEnded, type RunningRollout} from './rollout.js';

/** What known roll-outs need. */
export type KnownRolloutsOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly log: DecisionLog;
};

/** The roll-outs as a control instance tells them. */
export type ToldRollouts = {
	readonly rollouts: readonly RunningRollout[];
	readonly rolloutDigest: string;
};

/** When a control instance told. */
export type ToldAt = {
	/** The time at which its state was surely the newest, in milliseconds on the own monotonic clock; undefined where it is not known. */
	readonly confirmedAt: number | undefined;
	/** Milliseconds on the own monotonic clock. */
	readonly now: number;
};

/**
The roll-outs that an entry instance knows; they go forward only, since a control instance that is behind could tell an earlier stage.

@example
```ts
const known = new KnownRollouts({clock, log});
known.take(reply, {confirmedAt, now});
known.of(service);
```
*/
export class KnownRollouts {
	readonly #options: KnownRolloutsOptions;
	/** Their ages are kept as the time of the order on the own clock. */
	#rollouts: readonly RunningRollout[] = [];
	#confirmedAt = 0;
	#digest = '';

	constructor(options: KnownRolloutsOptions) {
		this.#options = options;
	}

	/** The digest of what is known. */
	get digest(): string {
		return this.#digest;
	}

	/** The services with a roll-out that has not ended. */
	get runningServices(): ReadonlySet<ServiceId> {
		return new Set(this.#rollouts.filter(rollout => !isEnded(rollout)).map(({service}) => service));
	}

	/**
	Takes what a control instance tells, unless something later is known.

	@param told The roll-outs.
	@param at When it told.
	*/
	take({rollouts, rolloutDigest}: ToldRollouts, {confirmedAt, now}: ToldAt): void {
		if (confirmedAt === undefined || confirmedAt < this.#confirmedAt) {
			return;
		}

		this.#confirmedAt = confirmedAt;
		if (rolloutDigest !== this.#digest) {
			this.#logAll(rollouts);
		}

		this.#digest = rolloutDigest;
		this.#rollouts = rollouts.map(rollout => ({...rollout, age: rollout.age - now}));
	}

	/**
	The newest roll-out of a service.

	@param service The service.
	@returns The roll-out with its age now; undefined where there was none.
	*/
	of(service: ServiceId): RunningRollout | undefined {
		const rollout = this.#rollouts.find(other => other.service === service);
		return rollout && {...rollout, age: rollout.age + this.#options.clock.monotonic()};
	}

	#logAll(rollouts: readonly RunningRollout[]): void {
		for (const {service, target, stage, age} of rollouts) {
			this.#options.log('rollout-advanced', {
				service, target, stage, age: Math.round(age),
			});
		}
	}
}
