import {type Clock, type ServiceId} from '@valehitch/core';
import {type DecisionLog} from '../logs/decision-log.js';
import {isEnded, type RolloutWithAge} from './rollout.js';

/** Options of the known rollouts. */
export type KnownRolloutsOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly log: DecisionLog;
};

/** The rollouts in a reply of a control instance. */
export type ReceivedRollouts = {
	readonly rollouts: readonly RolloutWithAge[];
	readonly rolloutDigest: string;
};

/** The times that belong to a reply of a control instance. */
export type ReceivedRolloutTimes = {
	/** When the state of the control instance was last confirmed to be current, in milliseconds on the local monotonic clock, or `undefined` if unknown. */
	readonly confirmedAt: number | undefined;
	/** The current time in milliseconds on the local monotonic clock. */
	readonly now: number;
};

/**
The rollouts known to an entry instance. Replies confirmed earlier than the current state are ignored, because a control instance that lags behind may report an earlier stage.

@example
```ts
const known = new KnownRollouts({clock, log});
known.update(reply, {confirmedAt, now});
known.forService(service);
```
*/
export class KnownRollouts {
	readonly #options: KnownRolloutsOptions;
	/** Each `age` holds the negated time of the order on the local clock. */
	#rollouts: readonly RolloutWithAge[] = [];
	#confirmedAt = 0;
	#digest = '';

	constructor(options: KnownRolloutsOptions) {
		this.#options = options;
	}

	/** The digest of the known rollouts. */
	get digest(): string {
		return this.#digest;
	}

	/** The services with a rollout that has not ended. */
	get runningServices(): ReadonlySet<ServiceId> {
		return new Set(this.#rollouts.filter(rollout => !isEnded(rollout)).map(({service}) => service));
	}

	/**
	Replaces the known rollouts by those of a reply, unless a reply that was confirmed later has been received.

	@param received The rollouts.
	@param times The times of the reply.
	*/
	update({rollouts, rolloutDigest}: ReceivedRollouts, {confirmedAt, now}: ReceivedRolloutTimes): void {
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
	Finds the newest rollout of a service.

	@param service The service.
	@returns The rollout with its current age, or `undefined` if there has been none.
	*/
	forService(service: ServiceId): RolloutWithAge | undefined {
		const rollout = this.#rollouts.find(other => other.service === service);
		return rollout && {...rollout, age: rollout.age + this.#options.clock.monotonic()};
	}

	#logAll(rollouts: readonly RolloutWithAge[]): void {
		for (const {service, target, stage, age} of rollouts) {
			this.#options.log('rollout-advanced', {
				service, target, stage, age: Math.round(age),
			});
		}
	}
}
