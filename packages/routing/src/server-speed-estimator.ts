import {type ServerId} from '@valehitch/core';

/** The speeds of a server by which it is chosen, relative to a server of mean speed. */
export type ServerSpeed = {
	/** The speed now; 2 for a server that processes prompts in half of the mean time. */
	readonly speed: number;
	/** The speed by which the homes of prompt prefixes are spread: a power of the square root of 2 that changes rarely, because each change has prompts processed again elsewhere. */
	readonly homeSpeed: number;
};

/** The times to the first event of an answer that has started. */
export type SpeedSample = {
	/** The observed time, in milliseconds. */
	readonly observed: number;
	/** The time that a server of mean speed would have taken for the prompt and for the work that waited when it was sent, in milliseconds. */
	readonly expected: number;
};

/** What is known of a server when its speed is asked for. */
export type SpeedOptions = {
	/** The observed over the expected times to the first event, over all entry instances; undefined if it is not known now. */
	readonly slowness: number | undefined;
	/** The slowness of a server of mean speed; 1 by default. */
	readonly meanSlowness?: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type Estimate = {
	readonly startedAt: number;
	updatedAt: number;
	/** The speed that falls quickly and rises slowly. */
	momentarySpeed: number;
	/** The speed averaged over a longer time. */
	lastingSpeed: number;
	/** Since when it has been much slower than before; undefined if it is not. */
	slowSince: number | undefined;
	/** The binary logarithm of the home speed, in halves. */
	homeStep: number;
	/** The last slowness that was told, and since when it has not changed. */
	slowness: number;
	unchangedSince: number;
	/** The decayed sums of the samples of this instance. */
	ownObserved: number;
	ownExpected: number;
	result: ServerSpeed;
};

const minimumSpeed = 0.25;
const maximumSpeed = 2;
/** The time constants in milliseconds with which the momentary speed falls and rises. Each request that is sent to a slowed server waits there, while one that has recovered only stays idle for a while. */
const fallMilliseconds = 250;
const riseMilliseconds = 2000;
/** The time constant of the lasting speed in milliseconds: longer than a moment of slowness, in which the load bound moves requests away from their home. */
const lastingMilliseconds = 8000;
/** The minimum of that for a young estimate, which averages over its age, so that a first slow answer does not last. */
const youngMilliseconds = 3000;
/** The share of the lasting speed below which a server counts as slow for a moment, by its momentary speed. Smaller differences are within the scatter of a few answers. */
const momentShare = 0.5;
/** The share of the lasting speed at which the moment is over. */
const momentEndShare = 0.8;
/** How long a server that has become much slower keeps its lasting speed, in milliseconds. */
const momentMilliseconds = 4000;
/** The distance of the lasting speed from the home speed at which that changes, in steps; above 0.5, so that a speed between two steps does not alternate. */
const homeHysteresis = 0.75;
/** The time without a change of the slowness after which the server counts as unused, in milliseconds. */
const quietMilliseconds = 1500;
/** The half-life with which the speed of an unused server returns to the mean, so that it is tried again, in milliseconds. */
const returnMilliseconds = 3000;
/** The relative change of a slowness that is due to rounding. */
const roundingTolerance = 1e-6;
/** The distance from the mean speed below which an estimate that is no longer told is dropped. */
const forgottenDistance = 0.02;
/** The half-life of the samples of this instance, in milliseconds; the slowness that is told includes them later. */
const ownHalfLifeMilliseconds = 500;
/** The weight of the slowness that is told against the samples of this instance, in milliseconds of expected time. */
const toldWeightMilliseconds = 1000;
/** The minimum time between updates of an estimate, in milliseconds, since each choice reads the speeds of all servers. */
const updateMilliseconds = 20;

/**
Estimates how fast servers process prompts from the observed and the expected times to the first event.

It answers a load on servers that differ in speed and turn slow for moments. An expected time includes the work that waited at the server, so a busy server does not count as slow. A server counts by its speed over the last seconds, unless it has just become much slower. Its speed falls quickly and rises slowly, returns to the mean while nobody uses the server, and is bounded, so that each server still gets requests.

@example
```ts
const speeds = new ServerSpeedEstimator();
speeds.speedOf(server, {slowness: 2, now}); // {speed: 0.5, homeSpeed: 0.5}
```
*/
export class ServerSpeedEstimator {
	readonly #estimates = new Map<ServerId, Estimate>();

	/** The number of servers with an estimate. */
	get size(): number {
		return this.#estimates.size;
	}

	/**
	Records an answer to this instance that has started. It has no effect for a server whose slowness was never told.

	@param server The server.
	@param sample The observed and expected times, and the time in milliseconds on the monotonic clock.
	*/
	record(server: ServerId, {observed, expected, now}: SpeedSample & {readonly now: number}): void {
		const estimate = this.#estimates.get(server);
		if (estimate === undefined || !(expected > 0) || !(observed >= 0)) {
			return;
		}

		decayOwnSamples(estimate, now - estimate.updatedAt);
		estimate.ownObserved += observed;
		estimate.ownExpected += expected;
	}

	/**
	Returns the speed of a server.

	@param server The server.
	@param options Its slowness and the time.
	@returns The speed; undefined if its slowness is not known and was not known recently.
	@example
	```ts
	speeds.speedOf(server, {slowness: undefined, now}); // Undefined
	```
	*/
	speedOf(server: ServerId, {slowness, meanSlowness = 1, now}: SpeedOptions): ServerSpeed | undefined {
		const known = this.#estimates.get(server);
		if (known === undefined) {
			return slowness === undefined ? undefined : this.#start(server, {slowness, meanSlowness, now});
		}

		if (now - known.updatedAt >= updateMilliseconds) {
			update(known, {slowness, meanSlowness, now});
		}

		if (slowness === undefined && Math.abs(known.result.speed - 1) < forgottenDistance) {
			this.#estimates.delete(server);
			return undefined;
		}

		return known.result;
	}

	/**
	Forgets a server whose process has ended.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#estimates.delete(server);
	}

	#start(server: ServerId, {slowness, meanSlowness, now}: SpeedOptions & {readonly slowness: number; readonly meanSlowness: number}): ServerSpeed {
		const speed = boundedSpeed(meanSlowness / slowness);
		const homeStep = Math.round(stepsOf(speed));
		const result = {speed, homeSpeed: speedAtStep(homeStep)};
		this.#estimates.set(server, {
			startedAt: now, updatedAt: now, momentarySpeed: speed, lastingSpeed: speed, slowSince: undefined, homeStep, slowness, unchangedSince: now, ownObserved: 0, ownExpected: 0, result,
		});
		return result;
	}
}

function update(estimate: Estimate, {slowness, meanSlowness, now}: SpeedOptions & {readonly meanSlowness: number}): void {
	const elapsed = now - estimate.updatedAt;
	decayOwnSamples(estimate, elapsed);
	if (slowness !== undefined && Math.abs(slowness - estimate.slowness) > roundingTolerance * estimate.slowness) {
		estimate.slowness = slowness;
		estimate.unchangedSince = now;
	}

	const quietFor = Math.max(0, now - estimate.unchangedSince - quietMilliseconds);
	const target = targetSpeed(estimate, {meanSlowness, quietFor});
	const timeConstant = target < estimate.momentarySpeed ? fallMilliseconds : riseMilliseconds;
	estimate.momentarySpeed = approach(estimate.momentarySpeed, {target, elapsed, timeConstant});
	if (estimate.slowSince === undefined || now - estimate.slowSince >= momentMilliseconds) {
		const age = Math.max(youngMilliseconds, now - estimate.startedAt);
		const lastingTimeConstant = Math.min(quietFor > 0 ? returnMilliseconds : lastingMilliseconds, age);
		estimate.lastingSpeed = approach(estimate.lastingSpeed, {target, elapsed, timeConstant: lastingTimeConstant});
	}

	const steps = stepsOf(estimate.lastingSpeed);
	if (Math.abs(steps - estimate.homeStep) > homeHysteresis) {
		estimate.homeStep = Math.round(steps);
	}

	const {momentarySpeed, lastingSpeed, slowSince} = estimate;
	const isSlow = momentarySpeed < (slowSince === undefined ? momentShare : momentEndShare) * lastingSpeed;
	estimate.slowSince = isSlow ? slowSince ?? now : undefined;
	estimate.updatedAt = now;
	estimate.result = {speed: isSlow ? momentarySpeed : lastingSpeed, homeSpeed: speedAtStep(estimate.homeStep)};
}

/** Returns the speed that the samples tell of, which returns to the mean while there are no new ones. */
function targetSpeed({slowness, ownObserved, ownExpected}: Estimate, {meanSlowness, quietFor}: {readonly meanSlowness: number; readonly quietFor: number}): number {
	const combined = ((slowness * toldWeightMilliseconds) + ownObserved) / (toldWeightMilliseconds + ownExpected);
	return 1 + ((boundedSpeed(meanSlowness / combined) - 1) * (2 ** (-quietFor / returnMilliseconds)));
}

function decayOwnSamples(estimate: Estimate, elapsed: number): void {
	const decay = 2 ** (-elapsed / ownHalfLifeMilliseconds);
	estimate.ownObserved *= decay;
	estimate.ownExpected *= decay;
}

function approach(value: number, {target, elapsed, timeConstant}: {readonly target: number; readonly elapsed: number; readonly timeConstant: number}): number {
	return target + ((value - target) * Math.exp(-elapsed / timeConstant));
}

function boundedSpeed(speed: number): number {
	return Math.min(maximumSpeed, Math.max(minimumSpeed, speed));
}

function stepsOf(speed: number): number {
	return 2 * Math.log2(speed);
}

function speedAtStep(step: number): number {
	return 2 ** (step / 2);
}
