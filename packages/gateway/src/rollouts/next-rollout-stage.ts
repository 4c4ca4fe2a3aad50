import {shiftStartShare} from './assign-cohort.js';
import {type Regression} from './find-regression.js';
import {type Rollout, type RolloutStage} from './rollout.js';

/** The inputs for the evaluation of a rollout. */
export type NextRolloutStageOptions = {
	/** Why the new version counts as bad; undefined if it does not. */
	readonly regression: Regression | undefined;
	/** The number of answers of the new version that have started. */
	readonly started: number;
	/** Milliseconds since the order. */
	readonly age: number;
};

/** The number of timed answers of the new version before its traffic grows. */
const minimumShiftAnswers = 24;
/** The share of the duration after which its traffic grows even with fewer answers, since few requests also mean that few are exposed. */
const latestShiftShare = 0.7;
/** The share of the duration after which the old version receives no more requests; its streams can end in the remaining time. */
const completeShare = 0.88;

/**
Determines the next stage of a rollout. It is rolled back as soon as the new version has regressed, and otherwise advances after set shares of its duration. A version with little evidence advances later.

@param rollout The rollout.
@param options The inputs.
@returns The next stage, or `undefined` if the stage does not change.
@example
```ts
nextRolloutStage(rollout, {regression: undefined, started: 40, age: 9000});
```
*/
export function nextRolloutStage({duration, stage}: Rollout, {regression, started, age}: NextRolloutStageOptions): RolloutStage | undefined {
	if (regression !== undefined) {
		return 'rolled-back';
	}

	const shiftShare = started >= minimumShiftAnswers ? shiftStartShare : latestShiftShare;
	if (stage === 'canary' && age >= shiftShare * duration) {
		return 'shifting';
	}

	return stage === 'shifting' && age >= completeShare * duration ? 'completed' : undefined;
}
