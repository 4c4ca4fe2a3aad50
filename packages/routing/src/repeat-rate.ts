import {LruMap} from '@valehitch/core';

/** The limits of the memory of subjects. */
export type RepeatRateOptions = {
	/** How long a subject is remembered after its last request, in milliseconds; 30,000 by default, about as long as a server of usual size and traffic caches a part of a prompt. */
	readonly memoryMilliseconds?: number;
	/** The maximum number of remembered subjects; 1024 by default, which covers 30 s at 34 requests per second in about 100 KB. */
	readonly maximumSubjects?: number;
};

/** The number of requests after which both counts are halved, so that the rate follows the latest few hundred requests. */
const halvingCount = 200;
/** The initial counts, which give a rate of a half that a few requests correct. An initial rate of 0 sent the long prompts of the first half minute to the wrong servers. */
const initialRepeatCount = 1;
const initialCount = 2;

/**
Estimates the share of requests whose subject occurred in a recent request.

An instance sees only its own requests, so the rate is never above that of the whole deployment.

@example
```ts
const repeatRate = new RepeatRate();
repeatRate.record('5c1e07a2', now);
repeatRate.value; // decreases with each new subject
```
*/
export class RepeatRate {
	readonly #memoryMilliseconds: number;
	/** The time of the latest request for each subject. */
	readonly #lastSeenAt: LruMap<string, number>;
	#repeatCount = initialRepeatCount;
	#count = initialCount;

	constructor({memoryMilliseconds = 30_000, maximumSubjects = 1024}: RepeatRateOptions = {}) {
		this.#memoryMilliseconds = memoryMilliseconds;
		this.#lastSeenAt = new LruMap(maximumSubjects);
	}

	/** The share of the latest requests whose subject was repeated, from 0 to 1. */
	get value(): number {
		return this.#repeatCount / this.#count;
	}

	/**
	Records a request.

	@param subject The subject of the request.
	@param now Milliseconds on the monotonic clock.
	*/
	record(subject: string, now: number): void {
		const seenAt = this.#lastSeenAt.peek(subject);
		const isRepeat = seenAt !== undefined && now - seenAt <= this.#memoryMilliseconds;
		this.#repeatCount += isRepeat ? 1 : 0;
		this.#count++;
		if (this.#count >= halvingCount) {
			this.#repeatCount /= 2;
			this.#count /= 2;
		}

		this.#lastSeenAt.set(subject, now);
	}
}
