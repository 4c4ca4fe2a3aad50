/** How much is remembered of the prefixes. */
export type PrefixSharesOptions = {
	/** The most prefixes that are counted; one with a larger share than 1 of this number is never missed; 64 by default. */
	readonly maximumPrefixes?: number;
	/** The number of requests after which all counts are halved; 1000 by default. */
	readonly halvingCount?: number;
};

/**
The shares of the requests that the most frequent prefixes have, by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005).

A prefix with a large share needs more than one home, and this instance can tell so from its own traffic alone.

@example
```ts
const share = shares.count(prefixHash(prompt));
chooseServer(views, {target, excluded, zone, random, prefix, prefixShare: share});
```
*/
export class PrefixShares {
	readonly #maximumPrefixes: number;
	readonly #halvingCount: number;
	readonly #counts = new Map<number, number>();
	#total = 0;

	constructor({maximumPrefixes = 64, halvingCount = 1000}: PrefixSharesOptions = {}) {
		this.#maximumPrefixes = maximumPrefixes;
		this.#halvingCount = halvingCount;
	}

	/** How many prefixes are counted. */
	get size(): number {
		return this.#counts.size;
	}

	/**
	Counts a request.

	@param prefix The hash of its prefix.
	@returns The share of the requests that have this prefix, from above 0 to 1; never too small, and at most 1 in `maximumPrefixes` too large.
	*/
	count(prefix: number): number {
		const known = this.#counts.get(prefix) ?? this.#takePlace();
		this.#counts.set(prefix, known + 1);
		this.#total++;
		const share = (known + 1) / this.#total;
		if (this.#total >= this.#halvingCount) {
			this.#halve();
		}

		return share;
	}

	/** Frees the place of the least frequent prefix, and gives its count. */
	#takePlace(): number {
		if (this.#counts.size < this.#maximumPrefixes) {
			return 0;
		}

		let least = Number.POSITIVE_INFINITY;
		let leastPrefix = 0;
		for (const [prefix, count] of this.#counts) {
			if (count < least) {
				least = count;
				leastPrefix = prefix;
			}
		}

		this.#counts.delete(leastPrefix);
		return least;
	}

	#halve(): void {
		this.#total = 0;
		for (const [prefix, count] of this.#counts) {
			this.#counts.set(prefix, count / 2);
			this.#total += count / 2;
		}
	}
}
