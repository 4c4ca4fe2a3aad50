import {type RandomSource} from '@valehitch/core';

/** What one read of a prompt by a model takes. */
export type ModelDemand = {
	/** The processing time of the prompt without queueing, in milliseconds. */
	readonly milliseconds: number;
	/** The configured price of its tokens; undefined if there is none. */
	readonly price: number | undefined;
};

/** Options of {@linkcode chooseFirstModel}. */
export type ChooseFirstModelOptions = {
	/** The share of the smallest model's answers that escalate, from 0 to 1; 0 while too few were seen. */
	readonly escalationShare: number;
	readonly smallest: ModelDemand;
	readonly largest: ModelDemand;
	/** Whether the previous request of the route began with the largest model. */
	readonly isLargestInUse: boolean;
	/** Only called if the choice would be the largest model. */
	readonly random: RandomSource;
};

/** Why a request begins with its model: the smallest one because few of its answers escalate, the largest one because most do, or the smallest one as a sample that keeps the share known. */
export type FirstModelReason = 'few-escalate' | 'most-escalate' | 'sample';

/** The least share at which the largest model goes first, also where estimates say that the smallest takes as long. */
const minimumShare = 0.5;
/** How far the share must fall below the one at which the largest model was chosen before the smallest is again. */
const hysteresisShare = 0.05;
/** The share of the requests of a route with the largest model that still begin with the smallest. */
const sampleShare = 0.05;

/**
Chooses the model that a request begins with. It answers the load of routes most of whose answers escalate, where each prompt is read twice and the second read begins late.

The largest model goes first if the cascade is expected to take at least as much processing time, and to cost at least as much. Without queueing, processing time is also the mean time to the first event, since nothing of an answer that escalates is forwarded.

@param options The demand of both models and the share of answers that escalate.
@returns The reason of the choice: `most-escalate` for the largest model, otherwise the smallest.
@example
```ts
chooseFirstModel({escalationShare: 0.8, smallest: {milliseconds: 40, price: 1}, largest: {milliseconds: 120, price: 3}, isLargestInUse: false, random}); // 'most-escalate'
```
*/
export function chooseFirstModel({escalationShare, smallest, largest, isLargestInUse, random}: ChooseFirstModelOptions): FirstModelReason {
	const threshold = breakEvenShare(smallest, largest) - (isLargestInUse ? hysteresisShare : 0);
	if (escalationShare < Math.max(minimumShare, threshold)) {
		return 'few-escalate';
	}

	return random() < sampleShare ? 'sample' : 'most-escalate';
}

/** Returns the share of escalations at which the cascade takes as much as the largest model alone, in both processing time and price. */
function breakEvenShare(smallest: ModelDemand, largest: ModelDemand): number {
	const timeShare = largest.milliseconds > 0 ? 1 - (smallest.milliseconds / largest.milliseconds) : 1;
	const hasPrices = smallest.price !== undefined && largest.price !== undefined && largest.price > 0;
	const priceShare = hasPrices ? 1 - (smallest.price / largest.price) : 0;
	return Math.max(timeShare, priceShare);
}
