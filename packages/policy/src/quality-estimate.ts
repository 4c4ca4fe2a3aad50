import {type DecayedSums} from './decayed-sums.js';

/** What is known of a quality or share. */
export type Estimate = {
	readonly mean: number;
	/** The standard error of the mean that comes from the observations. */
	readonly standardError: number;
	/** The mean less `confidence` standard errors, at least 0. */
	readonly lowerBound: number;
	/** The mean plus `confidence` standard errors, at most 1. */
	readonly upperBound: number;
	/** The weight of the observations; the prior not counted. */
	readonly weight: number;
};

/** What was known before the first observation. */
export type Prior = {
	/** The listed value, from 0 to 1. */
	readonly value: number;
	/** Observations that the listed value is worth; 30 unless given. */
	readonly weight?: number;
	/** The standard deviation of one observation; 0.15 unless given. */
	readonly deviation?: number;
	/** Standard errors between the mean and the bounds; 1.28 unless given, which is 90 % on one side. */
	readonly confidence?: number;
};

const defaultWeight = 30;
const defaultDeviation = 0.15;
const defaultConfidence = 1.28;

/**
Estimates a mean from decayed sums and a prior (normal with conjugate prior; Gelman and others, 2013).

The listed value is taken at the operator's word: without observations both bounds are equal to it, and the bounds widen only by the sampling error of the observations.

@param sums The sums, brought to the present; undefined for none.
@param prior What was known before.
@returns The estimate.
@example
```ts
estimate(undefined, {value: 0.82}).lowerBound; // 0.82
```
*/
export function estimate(sums: DecayedSums | undefined, prior: Prior): Estimate {
	const {value, weight: priorWeight = defaultWeight, deviation = defaultDeviation, confidence = defaultConfidence} = prior;
	const {weight = 0, sum = 0, squares = 0} = sums ?? {};
	const total = priorWeight + weight;
	if (total <= 0) {
		return {
			mean: value, standardError: 0, lowerBound: value, upperBound: value, weight: 0,
		};
	}

	const mean = ((priorWeight * value) + sum) / total;
	const spread = Math.max(0, squares - (2 * mean * sum) + (mean * mean * weight));
	const variance = ((priorWeight * deviation * deviation) + spread) / total;
	const standardError = Math.sqrt(variance * weight) / total;
	const margin = confidence * standardError;
	return {
		mean, standardError, lowerBound: Math.max(0, mean - margin), upperBound: Math.min(1, mean + margin), weight,
	};
}
