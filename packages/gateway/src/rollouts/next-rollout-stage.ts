import {type Regression} from './find-regression.js';
import {planRollout} from './plan-rollout.js';
import {type Rollout, type RolloutStage} from './rollout.js';

/** The inputs for the evaluation of a rollout. */
export type NextRolloutStageOptions = {
	/** Why the new version counts as bad; undefined if it does not. */
	readonly regression: Regression | undefined;
	/** Milliseconds since the order. */
	readonly age: number;
	/** The share of all requests within the duration that a bad version may receive, from 0 to 1. */
	readonly canaryShare: number;
};

/**
Determines the next stage of a rollout. It is rolled back as soon as the new version has regressed, and otherwise advances as planned.

@param rollout The rollout.
@param options The inputs.
@returns The next stage, or `undefined` if the stage does not change.
@example
```ts
nextRolloutStage(rollout, {regression: undefined, age: 9000, canaryShare: 0.15});
```
*/
export function nextRolloutStage({duration, stage}: Rollout, {regression, age, canaryShare}: NextRolloutStageOptions): RolloutStage | undefined {
	if (regression !== undefined) {
		return 'rolled-back';
	}

	const {shiftStart, completion} = planRollout({duration, canaryShare});
	if (stage === 'canary' && age >= shiftStart * duration) {
		return 'shifting';
	}

	return stage === 'shifting' && age >= completion * duration ? 'completed' : undefined;
}
