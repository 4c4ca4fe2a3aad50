import {type RandomSource} from '@valehitch/core';

/** Options of {@linkcode rejectionPause}. */
export type RejectionPauseOptions = {
	/** The rejections in a second that the server bears, from all instances together. */
	readonly rejectionsPerSecond: number;
	/** The number of instances. */
	readonly instances: number;
	readonly random: RandomSource;
};

const millisecondsPerSecond = 1000;
/** The time in which a place of a busy server usually becomes free, in milliseconds. */
const minimumMilliseconds = 250;
/** The longest pause, in milliseconds, so that a server that names a tiny number stays in use. */
const maximumMilliseconds = 10_000;

/**
Returns the time for which an instance leaves a server alone that has rejected a request of it, so that the rejections of all instances stay within what the server bears. Times differ at random, so that instances do not return at the same moment.

@param options What the server bears.
@returns Milliseconds.
@example
```ts
rejectionPause({rejectionsPerSecond: 5, instances: 7, random}); // 1400 to 2100
```
*/
export function rejectionPause({rejectionsPerSecond, instances, random}: RejectionPauseOptions): number {
	const interval = millisecondsPerSecond * instances / rejectionsPerSecond;
	const pause = Math.min(maximumMilliseconds, Math.max(minimumMilliseconds, interval));
	return pause * (1 + (random() / 2));
}
