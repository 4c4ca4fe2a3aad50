import {RecentMap} from '@valehitch/core';

/** How much a budget allows. */
export type RetryBudgetOptions = {
	/** Further attempts for each first attempt; 0.1 by default. */
	readonly share?: number;
	/** Further attempts a second that are allowed without any traffic; 0.2 by default. */
	readonly floorPerSecond?: number;
	/** The most attempts that can be saved up; 10 by default. */
	readonly burst?: number;
	/** The most keys that are kept, the least recently used going first; 4096 by default. */
	readonly maximumKeys?: number;
};

type Bucket = {
	tokens: number;
	filledAt: number;
};

const millisecondsPerSecond = 1000;

/**
A budget of further attempts for each key, as a share of the first attempts: a token bucket that traffic fills.

Retries and hedges have a budget each, keyed by workspace and version, so that a failing version cannot multiply its own traffic.

@example
```ts
const retries = new RetryBudget({share: 0.1});
retries.deposit('mills/tag-small@1.0', now);
retries.withdraw('mills/tag-small@1.0', now);
```
*/
export class RetryBudget {
	readonly #options: Required<RetryBudgetOptions>;
	readonly #buckets: RecentMap<string, Bucket>;

	constructor(options: RetryBudgetOptions = {}) {
		this.#options = {
			share: 0.1, floorPerSecond: 0.2, burst: 10, maximumKeys: 4096, ...options,
		};
		this.#buckets = new RecentMap(this.#options.maximumKeys);
	}

	/** How many keys are kept. */
	get size(): number {
		return this.#buckets.size;
	}

	/**
	Counts a first attempt.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	*/
	deposit(key: string, now: number): void {
		const bucket = this.#bucketOf(key, now);
		bucket.tokens = Math.min(this.#options.burst, bucket.tokens + this.#options.share);
	}

	/**
	Asks for a further attempt.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the budget allows it; if so, it is used up.
	*/
	withdraw(key: string, now: number): boolean {
		const bucket = this.#bucketOf(key, now);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	#bucketOf(key: string, now: number): Bucket {
		const {floorPerSecond, burst} = this.#options;
		const bucket = this.#buckets.touch(key, () => ({tokens: 1, filledAt: now}));
		const elapsed = Math.max(0, now - bucket.filledAt);
		bucket.tokens = Math.min(burst, bucket.tokens + (floorPerSecond * elapsed / millisecondsPerSecond));
		bucket.filledAt = Math.max(bucket.filledAt, now);
		return bucket;
	}
}
