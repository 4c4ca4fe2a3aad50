import {LruMap} from '@valehitch/core';

/** The limits of a retry budget. */
export type RetryBudgetOptions = {
	/** The additional attempts allowed per first attempt; 0.1 by default. */
	readonly ratio?: number;
	/** The additional attempts allowed per second without any traffic; 0.2 by default. */
	readonly minimumPerSecond?: number;
	/** The maximum number of additional attempts that can accumulate; 10 by default. */
	readonly burst?: number;
	/** The maximum number of keys; the least recently used one is evicted first; 4096 by default. */
	readonly maximumKeys?: number;
};

type Bucket = {
	tokens: number;
	filledAt: number;
};

const millisecondsPerSecond = 1000;

/**
Limits the additional attempts per key to a ratio of the first attempts, with a token bucket that first attempts refill.

Retries and hedges have separate budgets, keyed by workspace and version, so that a failing version cannot multiply its own traffic.

@example
```ts
const retries = new RetryBudget({ratio: 0.1});
retries.deposit('mills/tag-small@1.0', now);
retries.withdraw('mills/tag-small@1.0', now);
```
*/
export class RetryBudget {
	readonly #options: Required<RetryBudgetOptions>;
	readonly #buckets: LruMap<string, Bucket>;

	constructor(options: RetryBudgetOptions = {}) {
		this.#options = {
			ratio: 0.1, minimumPerSecond: 0.2, burst: 10, maximumKeys: 4096, ...options,
		};
		this.#buckets = new LruMap(this.#options.maximumKeys);
	}

	/** The number of tracked keys. */
	get size(): number {
		return this.#buckets.size;
	}

	/**
	Records a first attempt.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	*/
	deposit(key: string, now: number): void {
		const bucket = this.#bucketOf(key, now);
		bucket.tokens = Math.min(this.#options.burst, bucket.tokens + this.#options.ratio);
	}

	/**
	Requests an additional attempt, and charges it to the budget if it is allowed.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the attempt is allowed.
	*/
	withdraw(key: string, now: number): boolean {
		const bucket = this.#bucketOf(key, now);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	/**
	Gives back an additional attempt that was worth it, such as a hedge that was answered first.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	*/
	restore(key: string, now: number): void {
		const bucket = this.#bucketOf(key, now);
		bucket.tokens = Math.min(this.#options.burst, bucket.tokens + 1);
	}

	/**
	Checks whether an additional attempt is allowed, without charging it.

	@param key The workspace and version.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the attempt would be allowed.
	*/
	allows(key: string, now: number): boolean {
		return this.#bucketOf(key, now).tokens >= 1;
	}

	#bucketOf(key: string, now: number): Bucket {
		const {minimumPerSecond, burst} = this.#options;
		const bucket = this.#buckets.getOrCreate(key, () => ({tokens: 1, filledAt: now}));
		const elapsed = Math.max(0, now - bucket.filledAt);
		bucket.tokens = Math.min(burst, bucket.tokens + (minimumPerSecond * elapsed / millisecondsPerSecond));
		bucket.filledAt = Math.max(bucket.filledAt, now);
		return bucket;
	}
}
