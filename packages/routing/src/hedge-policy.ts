import {type ModelId, versionKey, type VersionId} from '@valehitch/core';
import {type HedgeDelays} from './request-plan.js';
import {type AttemptStage, type StageHistory} from './stage-history.js';

/** What the delays of a request depend on. */
export type HedgedRequest = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly streamed: boolean;
};

/** When an attempt counts as slow. */
export type HedgePolicyOptions = {
	/** The share of attempts that are faster than one that counts as slow; 0.95 by default. */
	readonly share?: number;
	/** The least delay in milliseconds, so that jitter is no reason to hedge; 20 by default. */
	readonly minimumMilliseconds?: number;
};

/** The options of `hedgeDelays`. */
export type HedgeDelaysOptions = HedgePolicyOptions & {
	/** The history, with the stages under `stageKey`; a cancelled attempt is recorded with the time it had. */
	readonly history: StageHistory;
};

// An answer has hundreds of gaps, so a gap is slow only far out in the tail.
const gapsOfAnswer = 200;
const decodeFactor = 2;

/**
Works out when a second attempt is due, from the history of each stage of the version.

Comparing a stage only with its own history tells a slow attempt from one in a slow stage (after Chen, Zhang, Guo and Deng, 2010); docs/design/retries-and-hedges.md has the measurement, and what of the paper it did not support.

@param request The request.
@param options The history, and when an attempt counts as slow.
@returns The delays, or undefined while there is too little history.
@example
```ts
const hedge = hedgeDelays(request, {history});
```
*/
export function hedgeDelays(request: HedgedRequest, options: HedgeDelaysOptions): HedgeDelays | undefined {
	const {history, share = 0.95, minimumMilliseconds = 20} = options;
	const stage: AttemptStage = request.streamed ? 'prefill' : 'whole';
	const key = stageKey(request);
	const late = history.quantile(key, {stage, share});
	if (late === undefined) {
		return undefined;
	}

	const prefillMilliseconds = Math.max(minimumMilliseconds, late);
	const gap = history.quantile(key, {stage: 'decode', share: gapShare(share)}) ?? 0;
	// A second attempt has to read the whole prompt again before it can take over.
	return {prefillMilliseconds, decodeMilliseconds: Math.max(prefillMilliseconds, decodeFactor * gap)};
}

/**
Names the history that the stages of a request belong to.

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

function gapShare(share: number): number {
	return 1 - ((1 - share) / gapsOfAnswer);
}
