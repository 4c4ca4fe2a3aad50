/**
Sums of observations whose weight halves with each half-life, by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): each observation is weighed once, when it comes, against a fixed landmark, so that sums add up and late observations count by when they were made.
*/
export type DecayedSums = {
	/** Milliseconds since 1970 at which an observation weighs 1. */
	readonly landmark: number;
	/** Observations, not weighed; only grows. */
	readonly count: number;
	readonly weight: number;
	/** The weighed sum of the values. */
	readonly sum: number;
	/** The weighed sum of the squares of the values. */
	readonly squares: number;
};

/** One observation. */
export type Observation = {
	readonly value: number;
	/** When the observed request ran, in milliseconds since 1970. */
	readonly at: number;
	/** Milliseconds in which the weight of an observation halves. */
	readonly halfLife: number;
};

/** The moment to which sums are brought. */
export type DecayOptions = {
	/** Milliseconds since 1970. */
	readonly at: number;
	/** Milliseconds. */
	readonly halfLife: number;
};

/** Half-lives after which the landmark moves, far from the range of a double. */
const longestStretch = 64;

/**
Adds one observation.

@param sums The sums so far; undefined for none.
@param observation The observation.
@returns The new sums.
@example
```ts
addObservation(undefined, {value: 0.8, at: 1000, halfLife: 60_000}).weight; // 1
```
*/
export function addObservation(sums: DecayedSums | undefined, {value, at, halfLife}: Observation): DecayedSums {
	const base = sums === undefined ? emptyAt(at) : withNearLandmark(sums, {at, halfLife});
	const weight = 2 ** ((at - base.landmark) / halfLife);
	return {
		landmark: base.landmark,
		count: base.count + 1,
		weight: base.weight + weight,
		sum: base.sum + (weight * value),
		squares: base.squares + (weight * value * value),
	};
}

/**
Brings sums to a moment: an observation made then weighs 1.

@param sums The sums.
@param options The moment and the half-life.
@returns The same sums with that landmark.
@example
```ts
decayTo(sums, {at: Number(clock.now()), halfLife}).weight;
```
*/
export function decayTo(sums: DecayedSums, {at, halfLife}: DecayOptions): DecayedSums {
	const factor = 2 ** ((sums.landmark - at) / halfLife);
	return {
		landmark: at,
		count: sums.count,
		weight: sums.weight * factor,
		sum: sums.sum * factor,
		squares: sums.squares * factor,
	};
}

/**
Adds sums up.

@param parts The sums of several sources.
@param options The moment and the half-life.
@returns The sums of all, brought to the moment.
@example
```ts
addSums([ownSums, otherSums], {at, halfLife});
```
*/
export function addSums(parts: Iterable<DecayedSums>, options: DecayOptions): DecayedSums {
	let total = emptyAt(options.at);
	for (const part of parts) {
		const {count, weight, sum, squares} = decayTo(part, options);
		total = {
			landmark: total.landmark,
			count: total.count + count,
			weight: total.weight + weight,
			sum: total.sum + sum,
			squares: total.squares + squares,
		};
	}

	return total;
}

function emptyAt(landmark: number): DecayedSums {
	return {
		landmark, count: 0, weight: 0, sum: 0, squares: 0,
	};
}

function withNearLandmark(sums: DecayedSums, options: DecayOptions): DecayedSums {
	return options.at - sums.landmark > longestStretch * options.halfLife ? decayTo(sums, options) : sums;
}
