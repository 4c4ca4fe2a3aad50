import {type Clock, type ServiceId} from '@valehitch/core';
import {isEnded, type Rollout, type RunningRollout} from '../rollouts/rollout.js';

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

			this.#seen.set(rollout.service, {target: rollout.target, at: now});
			return {...rollout, age: 0};
		});
	}
}

/** Names the roll-outs and their stages, so that an asker can tell whether it has them. */
export function digestOfRollouts(rollouts: readonly Rollout[]): string {
	return rollouts.map(rollout => `${rollout.service} ${rollout.target} ${rollout.stage} ${String(isEnded(rollout))}`).join('; ');
}
