import {type DecayedSums} from './decayed-sums.js';

/** An estimate of a quality or share. */
export type Estimate = {
	readonly mean: number;
	/** The sampling error of the mean due to the observations. */
	readonly standardError: number;
	/** The mean minus `confidence` standard errors, at least 0. */
	readonly lowerBound: number;
	/** The mean plus `confidence` standard errors, at most 1. */
	readonly upperBound: number;
	/** The weight of the observations, excluding the prior. */
	readonly weight: number;
};

/** The prior of an estimate. */
export type Prior = {
	/** The listed value, from 0 to 1. */
	readonly value: number;
	/** The number of observations that the listed value counts for. Defaults to 30. */
	readonly weight?: number;
	/** The standard deviation of one observation. Defaults to 0.15. */
	readonly deviation?: number;
	/** The number of standard errors between the mean and each bound. Defaults to 1.28, a one-sided confidence level of 90 %. */
	readonly confidence?: number;
};

const defaultWeight = 30;
const defaultDeviation = 0.15;
const defaultConfidence = 1.28;

/**
Estimates a mean from decayed sums and a prior (normal distribution with conjugate prior; Gelman and others, 2013).

The operator's listed value is trusted: without observations both bounds are equal to it, and the bounds widen only by the sampling error of the observations.

@param sums The sums, decayed to the present. Undefined if there are no observations.
@param prior The prior.
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
