import {type RandomSource} from '@valehitch/core';

/** A time in which one entry instance, or all but one, open no connection to any backend server. */
export type ServerCut = {
	/** Milliseconds from the start of the traffic. */
	readonly at: number;
	/** The duration in milliseconds. */
	readonly duration: number;
	/** Selects the instance that is cut off, or that is spared: a number in the range [0, 1). */
	readonly pick: number;
	/** Whether all instances but the selected one are cut off. */
	readonly isOneSpared: boolean;
};

/** Options for a plan of a cut. */
export type PlanServerCutOptions = {
	/** A random source of its own, so that the faults of a seed do not depend on it. */
	readonly random: RandomSource;
	/** The duration of the traffic with faults, in milliseconds. */
	readonly length: number;
};

/** The share of the traffic in which the cut begins, and the shares that it lasts; a cut is judged from three seconds on. */
const latestStartShare = 0.4;
const minimumDurationShare = 0.4;
const maximumDurationShare = 0.6;
const oneSparedShare = 0.5;

/**
Draws the cut of one entry instance, or all but one, from all servers at random.

@param options The random source and the length.
@returns The cut, which ends with the traffic at the latest.
@example
```ts
planServerCut({random: seededRandom(7), length: 12_000});
```
*/
export function planServerCut({random, length}: PlanServerCutOptions): ServerCut {
	return {
		at: random() * latestStartShare * length,
		duration: (minimumDurationShare + (random() * (maximumDurationShare - minimumDurationShare))) * length,
		pick: random(),
		isOneSpared: random() < oneSparedShare,
	};
}
