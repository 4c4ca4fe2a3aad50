import {type ModelId, versionKey, type VersionId} from '@valehitch/core';
import {soundSilenceMilliseconds} from './decide-stalled.js';
import {type HedgeDelays} from './request-plan.js';
import {type AttemptStage, type StageHistory} from './stage-history.js';

/** The properties of a request that determine its hedge delays. */
export type HedgedRequest = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly streamed: boolean;
};

/** When an attempt counts as slow. */
export type HedgePolicyOptions = {
	/** The quantile of the latency history above which an attempt counts as slow; 0.95 by default. */
	readonly quantile?: number;
	/** The minimum delay in milliseconds, so that jitter does not trigger hedges; 20 by default. */
	readonly minimumMilliseconds?: number;
};

/** The options of `hedgeDelays`. */
export type HedgeDelaysOptions = HedgePolicyOptions & {
	/** The latency history, keyed by `stageKey`; a cancelled attempt is recorded with the time until its cancellation. */
	readonly history: StageHistory;
};

// An answer has hundreds of gaps between pieces, so only a gap far out in the tail counts as slow.
const gapsPerAnswer = 200;
const decodeFactor = 2;

/**
Computes the delays after which a hedge is sent, from the latency history of each stage of the version.

Comparing a stage only with its own history distinguishes a slow attempt from one in a slow stage (after Chen, Zhang, Guo and Deng, 2010). docs/design/retries-and-hedges.md has the measurements, and the parts of the paper that they did not confirm.

@param request The request.
@param options The latency history, and when an attempt counts as slow.
@returns The delays, or undefined while there is too little history.
@example
```ts
const hedge = hedgeDelays(request, {history});
```
*/
export function hedgeDelays(request: HedgedRequest, options: HedgeDelaysOptions): HedgeDelays | undefined {
	const {history, quantile = 0.95, minimumMilliseconds = 20} = options;
	const stage: AttemptStage = request.streamed ? 'prefill' : 'whole';
	const key = stageKey(request);
	const slowPrefill = history.quantile(key, {stage, quantile});
	if (slowPrefill === undefined) {
		return undefined;
	}

	const prefillMilliseconds = Math.max(minimumMilliseconds, slowPrefill);
	const gap = history.quantile(key, {stage: 'decode', quantile: gapQuantile(quantile)}) ?? 0;
	// A hedge has to process the whole prompt again before it can take over, and then ends an answer whose server may only be silent for a moment.
	return {prefillMilliseconds, decodeMilliseconds: Math.max(prefillMilliseconds, decodeFactor * gap, soundSilenceMilliseconds)};
}

/**
Returns the key of a request's latency history.

@param request The request.
@returns The key for `StageHistory`.
@example
```ts
history.record(stageKey(request), {stage: 'prefill', milliseconds});
```
*/
export function stageKey({model, version}: Omit<HedgedRequest, 'streamed'>): string {
	return versionKey(model, version);
}

function gapQuantile(share: number): number {
	return 1 - ((1 - share) / gapsPerAnswer);
}
