import {type Clock} from '@valehitch/core';

/** The weight of the latest sample in the moving average. */
const meanWeight = 0.15;
/** The weight with which the baseline follows the mean upwards. The baseline takes about a thousand answers to adapt, so that a burst of a few seconds does not raise it. */
const baselineWeight = 0.001;
/** The half-life with which the mean decays towards the baseline, in milliseconds. Server queues drain within seconds, and without decay a model that is avoided because it was slow would never be measured again. */
const halfLifeMilliseconds = 2000;

/** The part of the latency that is independent of the prompt, expressed in tokens: the wait for the current engine step and for the first token. */
const fixedTokens = 1000;

/** A measured latency. */
export type LatencySample = {
	/** The time to first byte, in milliseconds. */
	readonly milliseconds: number;
	/** The length of the prompt, in tokens; 0 if there is no prompt. */
	readonly tokens: number;
};

/** Options for estimating a latency. */
export type LatencyEstimateOptions = {
	/** The length of the prompt, in tokens; 0 if there is no prompt. Defaults to the mean length. */
	readonly tokens?: number;
	/** The estimate if no latency has been recorded, in milliseconds. */
	readonly fallback: number;
};

type Statistics = {
	/** The mean latency of a prompt of mean size, in milliseconds. */
	readonly mean: number;
	/** The baseline: the lowest recent mean, in milliseconds. */
	readonly baseline: number;
	/** The mean size of the prompts, in tokens, including the fixed part. */
	readonly size: number;
	/** When the mean was last updated, in milliseconds on the monotonic clock. */
	readonly at: number;
};

/**
Estimates the time to first byte per key as a moving average, in proportion to the length of the prompt. Without new samples, the estimates decay towards their baselines.

The prompts of one route differ in length by a factor of a hundred, and the longest take seconds to process. If the mean alone were used, busy servers would be considered unresponsive.

@example
```ts
const latencies = new LatencyEstimator(clock);
latencies.record('route-1 large', {milliseconds: 640, tokens: 2000});
latencies.estimate('route-1 large', {tokens: 5000, fallback: 500});
```
*/
export class LatencyEstimator {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #statistics = new Map<string, Statistics>();

	/**
	@param clock The clock.
	*/
	constructor(clock: Pick<Clock, 'monotonic'>) {
		this.#clock = clock;
	}

	/**
	Records a latency.

	@param key The key, such as a route and a model.
	@param sample The latency and the length of the prompt.
	*/
	record(key: string, {milliseconds, tokens}: LatencySample): void {
		const at = this.#clock.monotonic();
		const previous = this.#decayed(key) ?? {
			mean: milliseconds, baseline: milliseconds, size: fixedTokens + tokens, at,
		};
		const mean = previous.mean + (meanWeight * (milliseconds - previous.mean));
		const size = previous.size + (meanWeight * (fixedTokens + tokens - previous.size));
		this.#statistics.set(key, {
			mean, baseline: Math.min(mean, previous.baseline + (baselineWeight * (mean - previous.baseline))), size, at,
		});
	}

	/**
	Estimates the latency of a prompt.

	@param key The key, such as a route and a model.
	@param options The length of the prompt and the fallback.
	@returns Milliseconds.
	*/
	estimate(key: string, {tokens, fallback}: LatencyEstimateOptions): number {
		const statistics = this.#decayed(key);
		if (statistics === undefined) {
			return fallback;
		}

		return tokens === undefined ? statistics.mean : statistics.mean * (fixedTokens + tokens) / statistics.size;
	}

	/**
	Estimates the latency of a prompt at a server without other requests, from the lowest recent mean.

	@param key The key, such as a route and a model.
	@param options The length of the prompt and the fallback.
	@returns Milliseconds.
	@example
	```ts
	latencies.calm('route-1 large', {tokens: 5000, fallback: 500});
	```
	*/
	calm(key: string, {tokens, fallback}: LatencyEstimateOptions): number {
		const statistics = this.#statistics.get(key);
		if (statistics === undefined) {
			return fallback;
		}

		return tokens === undefined ? statistics.baseline : statistics.baseline * (fixedTokens + tokens) / statistics.size;
	}

	/** Returns the statistics of a key, decayed to the current time. */
	#decayed(key: string): Statistics | undefined {
		const statistics = this.#statistics.get(key);
		if (statistics === undefined) {
			return undefined;
		}

		const now = this.#clock.monotonic();
		const decay = 2 ** ((statistics.at - now) / halfLifeMilliseconds);
		return {...statistics, mean: statistics.baseline + (decay * (statistics.mean - statistics.baseline)), at: now};
	}
}
