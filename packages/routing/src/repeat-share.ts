import {RecentMap} from '@valehitch/core';

/** How much is remembered of the subjects of requests. */
export type RepeatShareOptions = {
	/** The time for which a subject is remembered after its last request, in milliseconds; 30,000 by default, for which a server of usual size and traffic keeps a part of a prompt. */
	readonly memoryMilliseconds?: number;
	/** The most subjects that are remembered; 1024 by default: those of 30 s at 34 requests a second, some 100 KB. */
	readonly maximumSubjects?: number;
};

/** The number of requests after which both counts are halved, so that the share follows the last few hundred. */
const halvingCount = 200;
/** What the counts begin with: a share of a half that a few requests correct. An estimate that began at 0 sent the first half minute of long prompts to the wrong homes. */
const initialRepeats = 1;
const initialCount = 2;

/**
Tells which share of the requests are about a subject that was asked about shortly before.

An instance sees only its own requests, so that the share is never above that of the whole deployment.

@example
```ts
const repeats = new RepeatShare();
repeats.note('5c1e07a2', now);
repeats.share; // lower with each subject that is new
```
*/
export class RepeatShare {
	readonly #memoryMilliseconds: number;
	/** When each subject was asked about last. */
	readonly #seenAt: RecentMap<string, number>;
	#repeats = initialRepeats;
	#count = initialCount;

	constructor({memoryMilliseconds = 30_000, maximumSubjects = 1024}: RepeatShareOptions = {}) {
		this.#memoryMilliseconds = memoryMilliseconds;
		this.#seenAt = new RecentMap(maximumSubjects);
	}

	/** The share of the latest requests whose subject was known, from 0 to 1. */
	get share(): number {
		return this.#repeats / this.#count;
	}

	/**
	Counts a request.

	@param subject What it is about.
	@param now Milliseconds on the monotonic clock.
	*/
	note(subject: string, now: number): void {
		const seenAt = this.#seenAt.peek(subject);
		const isRepeat = seenAt !== undefined && now - seenAt <= this.#memoryMilliseconds;
		this.#repeats += isRepeat ? 1 : 0;
		this.#count++;
		if (this.#count >= halvingCount) {
			this.#repeats /= 2;
			this.#count /= 2;
		}

		this.#seenAt.set(subject, now);
	}
}
