import {type ModelId} from '@valehitch/core';

/** What decides whether an answer is asked for again of a larger model. */
export type ChooseNextModelOptions = {
	/** The models, smallest first. */
	readonly sizes: readonly ModelId[];
	/** The model that answered. */
	readonly current: ModelId;
	/** The model's own opinion of the answer, from 0 to 100; undefined where it gives none. */
	readonly confidence: number | undefined;
	/** Below this confidence a larger model is asked where time is no matter, from 0 to 100. */
	readonly leastConfidence: number;
	/** Milliseconds that are left for the first event to be on time. */
	readonly timeLeft: number;
	/** Milliseconds that the largest model takes to the first event. */
	readonly expectedTime: number;
};

/** Up to this share of the time that is left, the larger model's usual time is no matter: the scatter of single requests. */
const calmShare = 0.5;

/**
Chooses the model that should answer in place of the one that did: the largest, since the sizes between answer few of the hard requests.

The nearer the largest model's usual time comes to the time that is left, the less sure the answer must be for the step: under load the servers' time goes to the requests that need it most, before it is too short for all.

@param options What decides.
@returns The model, or undefined where the answer is good enough or there is no time for another.
@example
```ts
chooseNextModel({sizes, current, confidence: 31, leastConfidence: 50, timeLeft: 1800, expectedTime: 700});
```
*/
export function chooseNextModel({sizes, current, confidence, leastConfidence, timeLeft, expectedTime}: ChooseNextModelOptions): ModelId | undefined {
	const largest = sizes.at(-1);
	if (largest === undefined || largest === current || confidence === undefined) {
		return undefined;
	}

	const slack = timeLeft <= 0 ? 0 : 1 - (expectedTime / timeLeft);
	const needed = leastConfidence * Math.min(1, slack / (1 - calmShare));
	return confidence < needed ? largest : undefined;
}
