/** What callers got of a load, and what it took. */
export type LoadResult = {
	readonly requests: number;
	/** Answers whose first token was on time and whose model was able to give them. */
	readonly good: number;
	readonly late: number;
	/** Answers on time of a model that was not able to give them. */
	readonly tooHard: number;
	/** Requests without an answer. */
	readonly lost: number;
	readonly sends: number;
	/** Prompt tokens that engines read, and those that they had kept. */
	readonly tokensRead: number;
	readonly tokensKept: number;
};

/** A result that is being counted. */
export type CountedResult = {-readonly [Name in keyof LoadResult]: number};

/** Nothing counted yet. */
export function emptyResult(): CountedResult {
	return {
		requests: 0, good: 0, late: 0, tooHard: 0, lost: 0, sends: 0, tokensRead: 0, tokensKept: 0,
	};
}

/**
Adds results up.

@param results The results of some loads.
@returns Their sum.
*/
export function addResults(results: readonly LoadResult[]): LoadResult {
	const sum = emptyResult();
	for (const result of results) {
		for (const name of Object.keys(sum) as Array<keyof LoadResult>) {
			sum[name] += result[name];
		}
	}

	return sum;
}
