/** The limits of the counters. */
export type PrefixFrequenciesOptions = {
	/** The maximum number of counted prefixes; 64 by default. A prefix whose share exceeds 1 divided by this number is always counted. */
	readonly maximumPrefixes?: number;
	/** The number of requests after which all counts are halved; 1000 by default. */
	readonly halvingCount?: number;
};

/**
Estimates the shares of the most frequent prefixes among the requests with the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005).

A prefix with a large share needs more than one preferred server, and each instance can detect this from its own traffic.

@example
```ts
const share = frequencies.count(prefixHash(prompt));
chooseServer(views, {target, excluded, zone, random, prefix, prefixShare: share});
```
*/
export class PrefixFrequencies {
	readonly #maximumPrefixes: number;
	readonly #halvingCount: number;
	readonly #counts = new Map<number, number>();
	#total = 0;

	constructor({maximumPrefixes = 64, halvingCount = 1000}: PrefixFrequenciesOptions = {}) {
		this.#maximumPrefixes = maximumPrefixes;
		this.#halvingCount = halvingCount;
	}

	/** The number of counted prefixes. */
	get size(): number {
		return this.#counts.size;
	}

	/**
	Counts a request.

	@param prefix The hash of its prefix.
	@returns The share of the requests that have this prefix, above 0 and up to 1. It is never underestimated, and overestimated by at most 1 / `maximumPrefixes`.
	*/
	count(prefix: number): number {
		const known = this.#counts.get(prefix) ?? this.#evictLeastFrequent();
		this.#counts.set(prefix, known + 1);
		this.#total++;
		const share = (known + 1) / this.#total;
		if (this.#total >= this.#halvingCount) {
			this.#halve();
		}

		return share;
	}

	/** Evicts the least frequent prefix if all counters are in use. Returns the initial count for a new prefix, which is the evicted count or 0. */
	#evictLeastFrequent(): number {
		if (this.#counts.size < this.#maximumPrefixes) {
			return 0;
		}

		let minimumCount = Number.POSITIVE_INFINITY;
		let leastPrefix = 0;
		for (const [prefix, count] of this.#counts) {
			if (count < minimumCount) {
				minimumCount = count;
				leastPrefix = prefix;
			}
		}

		this.#counts.delete(leastPrefix);
		return minimumCount;
	}

	#halve(): void {
		this.#total = 0;
		for (const [prefix, count] of this.#counts) {
			this.#counts.set(prefix, count / 2);
			this.#total += count / 2;
		}
	}
}
