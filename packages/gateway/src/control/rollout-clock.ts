import {type Clock, type ServiceId} from '@valehitch/core';
import {type Rollout, type RunningRollout} from '../rollouts/rollout.js';

/** The wall clocks of instances differ and jump by a few seconds. */
const largestClockJumpMilliseconds = 4000;
/** Even a clock that is far ahead leaves this process some of the duration to judge the version itself. */
const mostOfDuration = 0.8;

/**
Remembers on the monotonic clock when this instance first saw each roll-out, since clocks of different instances cannot be compared.

@example
```ts
const rolloutClock = new RolloutClock(clock);
rolloutClock.running(state.rollouts);
```
*/
export class RolloutClock {
	readonly #clock: Clock;
	readonly #seen = new Map<ServiceId, {readonly target: string; readonly at: number}>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	Adds to each roll-out its age.

	@param rollouts The roll-outs of the replicated state.
	@returns The same with their ages.
	*/
	running(rollouts: readonly Rollout[]): readonly RunningRollout[] {
		const now = this.#clock.monotonic();
		return rollouts.map(rollout => {
			const seen = this.#seen.get(rollout.service);
			if (seen?.target === rollout.target) {
				return {...rollout, age: now - seen.at};
			}

			const age = this.#ageBefore(rollout);
			this.#seen.set(rollout.service, {target: rollout.target, at: now - age});
			return {...rollout, age};
		});
	}

	/** The age of a roll-out that was ordered before this process started; a difference that a jump of the clock can explain counts as none. */
	#ageBefore({orderedAt, duration}: Rollout): number {
		const age = this.#clock.now().getTime() - orderedAt;
		return age < largestClockJumpMilliseconds ? 0 : Math.min(age, mostOfDuration * duration);
	}
}

/** Names the roll-outs and their stages, so that an asker can tell whether it has them. */
export function digestOfRollouts(rollouts: readonly Rollout[]): string {
	return rollouts.map(rollout => `${rollout.service} ${rollout.target} ${rollout.stage}`).join('; ');
}
