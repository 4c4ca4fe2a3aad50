/**
Sums of observations with exponential decay, by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009).

Each observation is weighted once, on arrival, relative to a fixed landmark. Sums can therefore be added, and late observations are weighted by when they were made.
*/
export type DecayedSums = {
	/** Unix time in milliseconds at which an observation has weight 1. */
	readonly landmark: number;
	/** The unweighted number of observations. Only grows. */
	readonly count: number;
	readonly weight: number;
	/** The weighted sum of the values. */
	readonly sum: number;
	/** The weighted sum of the squared values. */
	readonly squares: number;
};

/** One observation. */
export type Observation = {
	readonly value: number;
	/** When the observed request ran, as Unix time in milliseconds. */
	readonly at: number;
	/** The half-life of an observation's weight, in milliseconds. */
	readonly halfLife: number;
};

/** The time to which sums are decayed. */
export type DecayOptions = {
	/** Unix time in milliseconds. */
	readonly at: number;
	/** The half-life in milliseconds. */
	readonly halfLife: number;
};

/** The number of half-lives after which the landmark moves. Weights then stay far below the range of a double. */
const maximumHalfLives = 64;

/**
Adds one observation.

@param sums The sums so far, or undefined if there are none.
@param observation The observation.
@returns The new sums.
@example
```ts
addObservation(undefined, {value: 0.8, at: 1000, halfLife: 60_000}).weight; // 1
```
*/
export function addObservation(sums: DecayedSums | undefined, {value, at, halfLife}: Observation): DecayedSums {
	const base = sums === undefined ? emptySums(at) : moveOldLandmark(sums, {at, halfLife});
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
Moves the landmark of sums to a given time, at which an observation then has weight 1.

@param sums The sums.
@param options The time and the half-life.
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
Adds sums of several sources.

@param parts The sums of each source.
@param options The time and the half-life.
@returns The total, with the given time as landmark.
@example
```ts
addSums([ownSums, otherSums], {at, halfLife});
```
*/
export function addSums(parts: Iterable<DecayedSums>, options: DecayOptions): DecayedSums {
	let total = emptySums(options.at);
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

function emptySums(landmark: number): DecayedSums {
	return {
		landmark, count: 0, weight: 0, sum: 0, squares: 0,
	};
}

function moveOldLandmark(sums: DecayedSums, options: DecayOptions): DecayedSums {
	return options.at - sums.landmark > maximumHalfLives * options.halfLife ? decayTo(sums, options) : sums;
}
