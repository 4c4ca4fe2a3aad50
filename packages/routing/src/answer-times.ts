import {LruMap} from '@valehitch/core';
import {type HalfWindows, moveHalfWindows} from './_half-windows.js';

/** The limits of the history of answer times. */
export type AnswerTimesOptions = {
	/** The minimum number of answers for a quantile; 20 by default. */
	readonly minimumCount?: number;
	/** The time after which a sample no longer counts, in milliseconds; each counts for at least half as long; 60,000 by default. */
	readonly windowMilliseconds?: number;
	/** The maximum number of keys; the least recently used one is evicted first; 1024 by default. */
	readonly maximumKeys?: number;
};

/** A send whose answer has begun, or that was given up before. */
export type AnswerTimeSample = {
	/** When it was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** What one unit of its time is, in milliseconds, where times are compared with an expected one; 1 by default. */
	readonly unit?: number;
};

/** A quantile of the answer times of a key. */
export type AnswerTimeQuantile = {
	/** The quantile, from 0 to 1. */
	readonly share: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type Counts = {
	readonly answered: Uint32Array;
	readonly abandoned: Uint32Array;
	/** The sum of the answered ones. */
	answers: number;
	/** The sum of all. */
	samples: number;
};

type History = HalfWindows<Counts> & {
	/** When the latest answered sends were sent, in milliseconds on the monotonic clock; the oldest one is overwritten. */
	readonly sentAt: Float64Array;
	answers: number;
};

const growth = 1.1;
const logGrowth = Math.log(growth);
// Times count in thousandths of a unit, so that ratios below one are told apart; the last bucket ends at 1.1 to the power of 215, some 790 s.
const perUnit = 1000;
const bucketCount = 216;
/** How many answered sends are remembered one by one. */
const rememberedSends = 64;

/**
Estimates quantiles of the time until answers begin, and tells by how many later sends a waiting one was overtaken.

A send that was given up is a censored value: its answer would have taken longer than it was waited for (the product-limit estimator of Kaplan and Meier, 1958). If these were left out, the quantiles would sink with every send that is given up.

@example
```ts
times.recordAnswered('route-1', {sentAt, now});
times.quantile('route-1', {share: 0.95, now});
times.overtakenBy('route-1', {sentAt});
```
*/
export class AnswerTimes {
	readonly #options: Required<AnswerTimesOptions>;
	readonly #histories: LruMap<string, History>;

	constructor(options: AnswerTimesOptions = {}) {
		this.#options = {
			minimumCount: 20, windowMilliseconds: 60_000, maximumKeys: 1024, ...options,
		};
		this.#histories = new LruMap(this.#options.maximumKeys);
	}

	/**
	Records that the answer to a send has begun.

	@param key What the times depend on, such as a route.
	@param sample The send.
	*/
	recordAnswered(key: string, sample: AnswerTimeSample): void {
		const history = this.#historyAt(key, sample.now);
		history.current.answered[bucketOf(sample)]!++;
		history.current.answers++;
		history.current.samples++;
		history.sentAt[history.answers % rememberedSends] = sample.sentAt;
		history.answers++;
	}

	/**
	Records that a send was given up before its answer began.

	@param key What the times depend on, such as a route.
	@param sample The send.
	*/
	recordAbandoned(key: string, sample: AnswerTimeSample): void {
		const {current} = this.#historyAt(key, sample.now);
		current.abandoned[bucketOf(sample)]!++;
		current.samples++;
	}

	/**
	Returns a quantile of the times, in units of the samples.

	@param key What the times depend on, such as a route.
	@param quantile The quantile and the time.
	@returns The quantile; the longest time seen if fewer were answered; undefined while there is too little history.
	*/
	quantile(key: string, {share, now}: AnswerTimeQuantile): number | undefined {
		// Each send asks for quantiles, so that no counts are copied.
		const {current, previous} = this.#historyAt(key, now);
		if (current.answers + previous.answers < this.#options.minimumCount) {
			return undefined;
		}

		let waiting = current.samples + previous.samples;
		let unanswered = 1;
		let longest = 0;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			const answered = current.answered[bucket]! + previous.answered[bucket]!;
			if (answered > 0) {
				unanswered *= 1 - (answered / waiting);
				longest = bucket;
			}

			if (1 - unanswered >= share) {
				break;
			}

			waiting -= answered + current.abandoned[bucket]! + previous.abandoned[bucket]!;
		}

		return (growth ** longest) / perUnit;
	}

	/**
	Counts the sends that were made after a given one and have been answered.

	@param key What the times depend on, such as a route.
	@param send The send that still waits.
	@returns Their number, up to the number of sends that are remembered.
	*/
	overtakenBy(key: string, {sentAt}: Pick<AnswerTimeSample, 'sentAt'>): number {
		const history = this.#histories.peek(key);
		if (history === undefined) {
			return 0;
		}

		const remembered = history.sentAt.subarray(0, Math.min(history.answers, rememberedSends));
		let count = 0;
		for (const at of remembered) {
			count += at > sentAt ? 1 : 0;
		}

		return count;
	}

	/** Returns the history of a key, with the counts of the window up to now. */
	#historyAt(key: string, now: number): History {
		const history = this.#histories.getOrCreate(key, () => ({
			current: emptyCounts(), previous: emptyCounts(), beganAt: now, sentAt: new Float64Array(rememberedSends), answers: 0,
		}));
		moveHalfWindows(history, {now, windowMilliseconds: this.#options.windowMilliseconds, createEmpty: emptyCounts});
		return history;
	}
}

function emptyCounts(): Counts {
	return {
		answered: new Uint32Array(bucketCount), abandoned: new Uint32Array(bucketCount), answers: 0, samples: 0,
	};
}

function bucketOf({sentAt, now, unit = 1}: AnswerTimeSample): number {
	const time = perUnit * (now - sentAt) / unit;
	return Math.min(bucketCount - 1, Math.ceil(Math.log(Math.max(1, time)) / logGrowth));
}
