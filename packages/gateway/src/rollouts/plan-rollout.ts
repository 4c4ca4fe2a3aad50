/** The inputs of the plan of a rollout. */
export type PlanRolloutOptions = {
	/** The time within which the rollout should be completed, in milliseconds. */
	readonly duration: number;
	/** The share of all requests within the duration that a bad version may receive, from 0 to 1. */
	readonly canaryShare: number;
	/** Whether the requests have sessions, which use the target in the second half only; false by default. */
	readonly hasSession?: boolean;
};

/** When a rollout advances, in shares of its duration, and how many requests the target receives until then. */
export type RolloutPlan = {
	/** From when on requests use the target. */
	readonly start: number;
	/** The share of the requests that use it until its traffic grows. */
	readonly share: number;
	/** From when to when its share grows to all requests. */
	readonly shiftStart: number;
	readonly shiftEnd: number;
	/** When the rollout is completed. */
	readonly completion: number;
};

/** Sessions stay on the old version for this share of the duration, since another instance may have started them there. */
const sessionStart = 0.5;
/** What is left of the duration after the completion: time to replicate it, and to announce it to all instances. */
const reserveShare = 0.032;
const minimumReserveMilliseconds = 600;
const maximumReserveShare = 0.2;
/** Between the end of the growth and the completion, after which the old servers stop, as a share of the duration. */
const lastAnswersShare = 0.01;
/** The length of the growth, as a share of the duration. */
const minimumGrowth = 0.016;
const maximumGrowth = 0.2;
/** The part of the allowance that is used, since sessions are uneven. */
const usedPart = 0.9;
/** The parts of the allowance that the target receives until its traffic grows. */
const minimumCanaryPart = 0.15;
const maximumCanaryPart = 0.4;

/**
Plans a rollout so that its target receives no more than its allowance until the duration ends, whatever is known about it: some bad versions cannot be told from good ones in time. Its traffic therefore grows as late as possible.

@param options The duration and the allowance.
@returns The plan.
@example
```ts
planRollout({duration: 20_000, canaryShare: 0.15});
```
*/
export function planRollout({duration, canaryShare, hasSession = false}: PlanRolloutOptions): RolloutPlan {
	const reserve = Math.min(maximumReserveShare, Math.max(reserveShare, minimumReserveMilliseconds / duration));
	const completion = 1 - reserve;
	const shiftEnd = completion - lastAnswersShare;
	const allTraffic = 1 - shiftEnd;
	// Growth and what follows it use half of the allowance; the share grows evenly, so that the growth counts half.
	const growth = Math.min(maximumGrowth, Math.max(minimumGrowth, canaryShare - (2 * allTraffic)));
	const shiftStart = shiftEnd - growth;
	const canaryPart = usedPart - ((growth / 2) + allTraffic) / canaryShare;
	const start = hasSession ? sessionStart : 0;
	const usedCanaryPart = Math.min(maximumCanaryPart, Math.max(minimumCanaryPart, canaryPart));
	const share = Math.min(1, usedCanaryPart * canaryShare / (shiftStart - start));
	return {
		start, share, shiftStart, shiftEnd, completion,
	};
}
