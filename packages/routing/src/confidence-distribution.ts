/** The width of a band of confidence. */
const bandWidth = 10;
const bandCount = 10;
/** The number of answers after which all counts are halved, so that the distribution follows the latest hundreds of answers. */
const halvingCount = 1000;
/** The number of answers above all thresholds that are assumed to have been seen before, so that a few unsure answers prove nothing. */
const priorCount = 20;

/**
The distribution of the confidence of a model's latest answers, from which the share that escalates at a threshold is estimated.

@example
```ts
const distribution = new ConfidenceDistribution();
distribution.record(31);
distribution.shareBelow(50);
```
*/
export class ConfidenceDistribution {
	readonly #counts = Array.from({length: bandCount}, () => 0);
	#total = 0;

	/**
	Records an answer.

	@param confidence The confidence, from 0 to 100; undefined if the model reports none, in which case the answer never escalates.
	*/
	record(confidence = 100): void {
		const band = Math.min(bandCount - 1, Math.max(0, Math.floor(confidence / bandWidth)));
		this.#counts[band] = (this.#counts[band] ?? 0) + 1;
		this.#total++;
		if (this.#total < halvingCount) {
			return;
		}

		this.#total /= 2;
		for (const [index, count] of this.#counts.entries()) {
			this.#counts[index] = count / 2;
		}
	}

	/**
	Estimates the share of the answers that have less than a confidence.

	@param threshold The confidence, from 0 to 100.
	@returns The share, which is 0 without answers and low with few.
	*/
	shareBelow(threshold: number): number {
		let below = 0;
		for (const [band, count] of this.#counts.entries()) {
			below += count * Math.min(1, Math.max(0, (threshold / bandWidth) - band));
		}

		return below / (this.#total + priorCount);
	}
}
