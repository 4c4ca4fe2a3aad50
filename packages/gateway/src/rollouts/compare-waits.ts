import {type WaitTable} from './wait-table.js';

/** The waits of two versions on one route and model. */
export type ComparedWaits = {
	readonly candidate: WaitTable;
	readonly baseline: WaitTable;
};

/** The answers of a version, and those expected if it took a given multiple of the time of the other one. */
export type ExpectedAnswers = {
	readonly observed: number;
	readonly expected: number;
	/** The variance of the observed number, if the versions differ by that multiple. */
	readonly variance: number;
};

/**
Compares the answers that have begun with those expected from the other version's times, stretched by a number of intervals (the log-rank test of Mantel, 1966). Sends that still wait are censored values.

@param waits The waits by route and model.
@param stretch The number of intervals by which the times are stretched.
@returns The observed and expected answers.
@example
```ts
compareWaits([{candidate, baseline}], 2);
```
*/
export function compareWaits(waits: readonly ComparedWaits[], stretch: number): ExpectedAnswers {
	let observed = 0;
	let expected = 0;
	let variance = 0;
	for (const {candidate, baseline} of waits) {
		for (const [interval, exposed] of candidate.exposed.entries()) {
			const baselineExposed = baseline.exposed[interval - stretch] ?? 0;
			const total = exposed + baselineExposed;
			if (exposed === 0 || baselineExposed === 0) {
				continue;
			}

			const answered = candidate.answered[interval] ?? 0;
			const totalAnswered = answered + (baseline.answered[interval - stretch] ?? 0);
			observed += answered;
			expected += totalAnswered * exposed / total;
			variance += totalAnswered * (exposed / total) * (baselineExposed / total) * (total - totalAnswered) / (total - 1);
		}
	}

	return {observed, expected, variance};
}
