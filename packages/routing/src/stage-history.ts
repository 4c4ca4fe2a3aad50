/** A stage of an attempt: up to the first piece, between pieces, or the whole of an answer that is not streamed. */
export type AttemptStage = 'prefill' | 'decode' | 'whole';

/** How much history is kept. */
export type StageHistoryOptions = {
	/** The fewest times from which a quantile is told; 30 by default. */
	readonly minimumCount?: number;
	/** The count at which all counts are halved, so that recent times weigh more; 2000 by default. */
	readonly halvingCount?: number;
	/** The most pairs of key and stage that are kept, the least recently used going first; 1024 by default. */
	readonly maximumKeys?: number;
};

type Sketch = {
	readonly counts: Uint16Array;
	total: number;
};

const growth = 1.1;
const logGrowth = Math.log(growth);
// 1.1 to the power of 140 is 623,000 ms, above ten minutes.
const bucketCount = 141;

/**
The times that the stages of attempts took, as quantiles with a relative error of at most 5 %.

Each sketch has buckets whose bounds grow by a tenth (the relative-error sketch of Masson, Rim and Lee, 2019), in 282 bytes.

@example
```ts
history.record('tag-small@1.0', {stage: 'prefill', milliseconds: 180});
history.quantile('tag-small@1.0', {stage: 'prefill', share: 0.95});
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

	/** How many pairs of key and stage are kept. */
	get size(): number {
		return this.#sketches.size;
	}

	/**
	Takes one time.

	@param key The version, with whatever else its times depend on.
	@param options The stage and its time in milliseconds.
	*/
	record(key: string, {stage, milliseconds}: StageTime): void {
		const sketch = this.#sketchOf(`${stage} ${key}`);
		const bucket = bucketOf(milliseconds);
		sketch.counts[bucket] = (sketch.counts[bucket] ?? 0) + 1;
		sketch.total++;
		if (sketch.total >= this.#options.halvingCount) {
			halve(sketch);
		}
	}

	/**
	Tells the time that a share of the attempts did not exceed.

	@param key The version, with whatever else its times depend on.
	@param options The stage and the share, from 0 to 1.
	@returns The time in milliseconds, or undefined while there is too little history.
	*/
	quantile(key: string, {stage, share}: StageQuantile): number | undefined {
		const sketch = this.#sketches.get(`${stage} ${key}`);
		if (sketch === undefined || sketch.total < this.#options.minimumCount) {
			return undefined;
		}

		let seen = 0;
		for (const [bucket, count] of sketch.counts.entries()) {
			seen += count;
			if (seen >= share * sketch.total) {
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

/** The time that a stage took. */
export type StageTime = {
	readonly stage: AttemptStage;
	readonly milliseconds: number;
};

/** Which quantile of a stage is wanted. */
export type StageQuantile = {
	readonly stage: AttemptStage;
	readonly share: number;
};

function bucketOf(milliseconds: number): number {
	const bucket = Math.ceil(Math.log(Math.max(1, milliseconds)) / logGrowth);
	return Math.min(bucketCount - 1, bucket);
}

/** The middle of a bucket, so that the error is the same on both sides. */
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
