import {type ModelId} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {type LatencyEstimator} from './latency-estimator.js';

/** Options of {@linkcode promptWork}. */
export type PromptWorkOptions = {
	readonly route: Pick<Route, 'id' | 'targetLatency'>;
	readonly model: ModelId | undefined;
	/** The length of the prompt as the caller states it, in tokens. */
	readonly tokens: number;
};

/** The work of a prompt on a route without samples, as a share of the target latency. */
const defaultWorkShare = 0.1;
/** By which factor the work of a prompt may differ from the mean of its route: more than the lengths of nearly all prompts do, so that a false length has a bounded effect. */
const maximumDeviation = 10;

/**
Estimates how long an idle server of mean speed takes to process a prompt.

@param latencies The latencies by route and model.
@param options The route, the model and the length of the prompt.
@returns Milliseconds.
@example
```ts
promptWork(latencies, {route, model, tokens: 1460}); // 66
```
*/
export function promptWork(latencies: Pick<LatencyEstimator, 'calm'>, {route, model, tokens}: PromptWorkOptions): number {
	const key = `${route.id} ${model ?? ''}`;
	const fallback = defaultWorkShare * route.targetLatency;
	const mean = latencies.calm(key, {fallback});
	const estimate = tokens >= 0 ? latencies.calm(key, {tokens, fallback}) : mean;
	return Math.min(Math.max(estimate, mean / maximumDeviation), mean * maximumDeviation);
}
