/** The outcomes of the requests of a simulation, and their cost. */
export type LoadResult = {
	readonly requests: number;
	/** Correct responses whose first token was on time. */
	readonly good: number;
	readonly late: number;
	/** Responses on time from a model whose capability is below the difficulty of the request. */
	readonly incorrect: number;
	/** Requests without a response. */
	readonly failed: number;
	readonly sends: number;
	/** Prompt tokens that engines prefilled; `tokensCached` counts those found in a prompt cache. */
	readonly tokensPrefilled: number;
	readonly tokensCached: number;
};

/** A result to accumulate counts in. */
export type MutableLoadResult = {-readonly [Name in keyof LoadResult]: number};

/** Returns a result with all counts at 0. */
export function emptyResult(): MutableLoadResult {
	return {
		requests: 0, good: 0, late: 0, incorrect: 0, failed: 0, sends: 0, tokensPrefilled: 0, tokensCached: 0,
	};
}

/**
Sums results.

@param results The results of several simulations.
@returns The sum of each count.
*/
export function sumResults(results: readonly LoadResult[]): LoadResult {
	const sum = emptyResult();
	for (const result of results) {
		for (const name of Object.keys(sum) as Array<keyof LoadResult>) {
			sum[name] += result[name];
		}
	}

	return sum;
}
