import {type Clock, type ServiceId} from '@valehitch/core';
import {type Rollout, type RolloutWithAge} from '../rollouts/rollout.js';

/** Wall clocks of different instances may differ, and may jump, by a few seconds. */
const maximumClockSkewMilliseconds = 4000;
/** Limits the initial age to this share of the duration, so that this process has time to evaluate the version itself even if its wall clock is far ahead. */
const maximumInitialShare = 0.8;

/**
Tracks the age of each rollout on the local monotonic clock, starting when this instance first sees the rollout, because the clocks of different instances cannot be compared.

@example
```ts
const rolloutClock = new RolloutClock(clock);
rolloutClock.withAges(state.rollouts);
```
*/
export class RolloutClock {
	readonly #clock: Clock;
	readonly #firstSeen = new Map<ServiceId, {readonly target: string; readonly at: number}>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	Adds its age to each rollout.

	@param rollouts The rollouts in the replicated state.
	@returns The rollouts with their ages.
	*/
	withAges(rollouts: readonly Rollout[]): readonly RolloutWithAge[] {
		const now = this.#clock.monotonic();
		return rollouts.map(rollout => {
			const known = this.#firstSeen.get(rollout.service);
			if (known?.target === rollout.target) {
				return {...rollout, age: now - known.at};
			}

			const age = this.#initialAge(rollout);
			this.#firstSeen.set(rollout.service, {target: rollout.target, at: now - age});
			return {...rollout, age};
		});
	}

	/** The age of a rollout that this process sees for the first time, by the wall clock. An age within the clock tolerance counts as the time that the order waited for its commit. */
	#initialAge({orderedAt, duration, waited = 0}: Rollout): number {
		const age = this.#clock.now().getTime() - orderedAt;
		return Math.min(age < waited + maximumClockSkewMilliseconds ? waited : age, maximumInitialShare * duration);
	}
}

/** Summarizes the targets and stages of rollouts, so that an entry instance can tell whether it has the current ones. */
export function digestRollouts(rollouts: readonly Rollout[]): string {
	return rollouts.map(rollout => `${rollout.service} ${rollout.target} ${rollout.stage}`).join('; ');
}
