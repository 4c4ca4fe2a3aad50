import {type ModelId} from '@valehitch/core';

/** Options of {@linkcode chooseNextModel}. */
export type ChooseNextModelOptions = {
	/** The models, ordered from the smallest to the largest. */
	readonly sizes: readonly ModelId[];
	/** The model that answered. */
	readonly current: ModelId;
	/** The model's own confidence in its answer, from 0 to 100; undefined if it reports none. */
	readonly confidence: number | undefined;
	/** The confidence, from 0 to 100, below which the request escalates to a larger model if there is plenty of time. */
	readonly minimumConfidence: number;
	/** The time left until the target latency of the first event, in milliseconds. */
	readonly timeLeft: number;
	/** The expected latency of the first event of the largest model, in milliseconds. */
	readonly expectedLatency: number;
	/** The price of the second read, as a share of the value of a right answer; 0 by default. */
	readonly price?: number;
};

/** The confidence of a model that is sure. */
const maximumConfidence = 100;
/** The threshold is not lowered while the expected latency takes at most this share of the time left; the rest allows for the variance of single requests. */
const fullThresholdShare = 0.5;

/**
Chooses the model that a request escalates to: always the largest one, because models of intermediate size answer few of the hard requests.

The confidence threshold falls as the expected latency of the largest model approaches the time left. Under load, this reserves the servers for the requests that need them most, before there is too little time for all.

With a price, the confidence must also leave a chance to improve the answer that is worth the price.

@param options The models, the confidence of the answer and the time left.
@returns The model, or undefined if the answer is good enough or there is no time for another one.
@example
```ts
chooseNextModel({sizes, current, confidence: 31, minimumConfidence: 50, timeLeft: 1800, expectedLatency: 700});
```
*/
export function chooseNextModel({sizes, current, confidence, minimumConfidence, timeLeft, expectedLatency, price = 0}: ChooseNextModelOptions): ModelId | undefined {
	const largest = sizes.at(-1);
	if (largest === undefined || largest === current || confidence === undefined) {
		return undefined;
	}

	const slack = timeLeft <= 0 ? 0 : 1 - (expectedLatency / timeLeft);
	const timedThreshold = minimumConfidence * Math.min(1, slack / (1 - fullThresholdShare));
	return confidence < Math.min(timedThreshold, pricedThreshold(minimumConfidence, price)) ? largest : undefined;
}

/**
Returns the confidence below which an answer is worth a second read at a price.

@param minimumConfidence The threshold without a price, from 0 to 100.
@param price The price of the second read, as a share of the value of a right answer.
@returns The threshold, from 0 to 100.
@example
```ts
pricedThreshold(50, 0.8); // 20
```
*/
export function pricedThreshold(minimumConfidence: number, price: number): number {
	return Math.max(0, Math.min(minimumConfidence, maximumConfidence * (1 - price)));
}
