import {type ModelId} from '@valehitch/core';

/** What decides whether an answer is asked for again of a larger model. */
export type ChooseNextModelOptions = {
	/** The models, smallest first. */
	readonly sizes: readonly ModelId[];
	/** The model that answered. */
	readonly current: ModelId;
	/** The model's own opinion of the answer, from 0 to 100; undefined where it gives none. */
	readonly confidence: number | undefined;
	/** Below this confidence a larger model is asked, from 0 to 100. */
	readonly leastConfidence: number;
	/** Milliseconds that are left for the first event to be on time. */
	readonly timeLeft: number;
	/** Milliseconds that the largest model takes to the first event. */
	readonly expectedTime: number;
};

/**
Chooses the model that should answer in place of the one that did: the largest, since the sizes between answer few of the hard requests.

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

	return confidence < leastConfidence && timeLeft > expectedTime ? largest : undefined;
}
