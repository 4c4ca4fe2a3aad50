import {type RandomSource} from '@valehitch/core';

/** What a backend server says about the requests that it takes: a rate limit, or a pause that it asks for while it rejects all requests. */
export type ServerNotice
	= | {readonly type: 'limit'; readonly requestsPerSecond: number}
		| {readonly type: 'pause'; readonly seconds: number};

/** A time in which one server gives a notice. */
export type PlannedNotice = {
	readonly notice: ServerNotice;
	/** Milliseconds from the start of the traffic. */
	readonly at: number;
	/** The duration in milliseconds. */
	readonly duration: number;
	/** Selects the server: a number in the range [0, 1). */
	readonly pick: number;
};

/** Options for a plan of notices. */
export type PlanNoticesOptions = {
	/** A random source of their own, so that the faults of a seed do not depend on them. */
	readonly random: RandomSource;
	/** The duration of the traffic with faults, in milliseconds. */
	readonly length: number;
};

const gapMilliseconds = 2500;
/** Limits are judged from three seconds on, over four seconds. */
const minimumDurationMilliseconds = 3000;
const maximumDurationMilliseconds = 9000;
const limitShare = 0.6;
const minimumLimit = 1;
const maximumLimit = 5;
const pauseSeconds = 2;

/**
Draws the notices of the servers of one soak at random. They may overlap, and end with the traffic.

@param options The random source and the length.
@returns The notices in chronological order.
@example
```ts
planNotices({random: seededRandom(7), length: 12_000});
```
*/
export function planNotices({random, length}: PlanNoticesOptions): readonly PlannedNotice[] {
	const notices: PlannedNotice[] = [];
	let at = 0;
	while (true) {
		at += 2 * random() * gapMilliseconds;
		if (at >= length) {
			return notices;
		}

		const notice: ServerNotice = random() < limitShare
			? {type: 'limit', requestsPerSecond: minimumLimit + (random() * (maximumLimit - minimumLimit))}
			: {type: 'pause', seconds: pauseSeconds};
		const duration = minimumDurationMilliseconds + (random() * (maximumDurationMilliseconds - minimumDurationMilliseconds));
		notices.push({
			notice, at, duration: Math.min(duration, length - at), pick: random(),
		});
	}
}
