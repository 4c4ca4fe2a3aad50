/** A stage of an attempt: the wait for the first piece, the gap between two pieces, or the whole of an answer that is not streamed. */
export type AttemptStage = 'prefill' | 'decode' | 'whole';

/** The limits of a stage history. */
export type StageHistoryOptions = {
	/** The minimum number of durations for a quantile; 30 by default. */
	readonly minimumCount?: number;
	/** The number of durations at which all counts are halved, so that recent ones weigh more; 2000 by default. */
	readonly halvingCount?: number;
	/** The maximum number of pairs of key and stage; the least recently recorded one is evicted first; 1024 by default. */
	readonly maximumKeys?: number;
};

type Sketch = {
	readonly counts: Uint16Array;
	total: number;
};

const growth = 1.1;
const logGrowth = Math.log(growth);
// The last bucket ends at 1.1 to the power of 140, which is 623,000 ms or more than ten minutes.
const bucketCount = 141;

/**
Estimates quantiles of the durations of attempt stages, with a relative error of at most 5 %.

Each sketch has buckets whose bounds grow by a tenth (the relative-error sketch of Masson, Rim and Lee, 2019) and takes 282 bytes.

@example
```ts
history.record('tag-small@1.0', {stage: 'prefill', milliseconds: 180});
history.quantile('tag-small@1.0', {stage: 'prefill', quantile: 0.95});
```
*/
export class StageHistory {
	readonly #options: Required<StageHistoryOptions>;
	readonly #sketches = new Map<string, Sketch>();

	constructor(options: StageHistoryOptions = {}) {
		this.#options = {
			minimumCount: 30, halvingCount: 2000, maximumKeys: 1024, ...options,
		};
	}

	/** The number of pairs of key and stage. */
	get size(): number {
		return this.#sketches.size;
	}

	/**
	Records a duration.

	@param key The version, and anything else that its durations depend on.
	@param options The stage, and its duration in milliseconds.
	*/
	record(key: string, {stage, milliseconds}: StageDuration): void {
		const sketch = this.#sketchOf(`${stage} ${key}`);
		const bucket = bucketOf(milliseconds);
		sketch.counts[bucket] = (sketch.counts[bucket] ?? 0) + 1;
		sketch.total++;
		if (sketch.total >= this.#options.halvingCount) {
			halve(sketch);
		}
	}

	/**
	Returns a quantile of the durations of a stage.

	@param key The version, and anything else that its durations depend on.
	@param options The stage, and the quantile from 0 to 1.
	@returns The duration in milliseconds, or undefined while there is too little history.
	*/
	quantile(key: string, {stage, quantile: share}: StageQuantile): number | undefined {
		const sketch = this.#sketches.get(`${stage} ${key}`);
		if (sketch === undefined || sketch.total < this.#options.minimumCount) {
			return undefined;
		}

		let cumulativeCount = 0;
		for (const [bucket, count] of sketch.counts.entries()) {
			cumulativeCount += count;
			if (cumulativeCount >= share * sketch.total) {
				return bucketMidpoint(bucket);
			}
		}

		return bucketMidpoint(bucketCount - 1);
	}

	#sketchOf(key: string): Sketch {
		const sketch = this.#sketches.get(key) ?? {counts: new Uint16Array(bucketCount), total: 0};
		this.#sketches.delete(key);
		this.#sketches.set(key, sketch);
		const oldest = this.#sketches.keys().next();
		if (this.#sketches.size > this.#options.maximumKeys && !oldest.done) {
			this.#sketches.delete(oldest.value);
		}

		return sketch;
	}
}

/** The duration of a stage. */
export type StageDuration = {
	readonly stage: AttemptStage;
	readonly milliseconds: number;
};

/** A quantile of the durations of a stage. */
export type StageQuantile = {
	readonly stage: AttemptStage;
	readonly quantile: number;
};

function bucketOf(milliseconds: number): number {
	const bucket = Math.ceil(Math.log(Math.max(1, milliseconds)) / logGrowth);
	return Math.min(bucketCount - 1, bucket);
}

/** Returns the value with the same relative error towards both bounds of a bucket. */
function bucketMidpoint(bucket: number): number {
	return 2 * (growth ** bucket) / (growth + 1);
}

function halve(sketch: Sketch): void {
	let total = 0;
	for (const [bucket, count] of sketch.counts.entries()) {
		const half = Math.floor(count / 2);
		sketch.counts[bucket] = half;
		total += half;
	}

	sketch.total = total;
}
