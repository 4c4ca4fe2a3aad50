import {type ModelId, versionKey, type VersionId} from '@valehitch/core';
import {type HedgeDelays} from './request-plan.js';
import {type AttemptStage, type StageHistory} from './stage-history.js';

/** What the delays of a request depend on. */
export type HedgedRequest = {
	readonly model: ModelId;
	readonly version: VersionId;
	/** The estimate of the prompt's tokens. */
	readonly promptTokens: number;
	readonly streamed: boolean;
};

/** When an attempt counts as slow. */
export type HedgePolicyOptions = {
	/** The share of attempts that are faster than one that counts as slow; 0.95 by default. */
	readonly share?: number;
	/** The least delay in milliseconds, so that jitter is no reason to hedge; 20 by default. */
	readonly minimumMilliseconds?: number;
};

const promptClassBase = 4;

/**
Works out when a second attempt is due, from the history of each stage of the version.

Comparing a stage only with its own history tells a slow attempt from one in a slow stage (after Chen, Zhang, Guo and Deng, 2010); prefill is compared among prompts of like size.

@param request The request.
@param options The history, and when an attempt counts as slow.
@returns The delays, or undefined while there is too little history.
@example
```ts
const hedge = hedgeDelays(request, {history});
```
*/
export function hedgeDelays(request: HedgedRequest, {history, share = 0.95, minimumMilliseconds = 20}: HedgeDelaysOptions): HedgeDelays | undefined {
	const firstStage: AttemptStage = request.streamed ? 'prefill' : 'whole';
	const prefill = history.quantile(stageKey(request), {stage: firstStage, share});
	if (prefill === undefined) {
		return undefined;
	}

	const decode = history.quantile(versionKey(request.model, request.version), {stage: 'decode', share: gapShare(share)});
	return {
		prefillMilliseconds: Math.max(minimumMilliseconds, prefill),
		decodeMilliseconds: Math.max(minimumMilliseconds, prefill, decodeFactor * (decode ?? 0)),
	};
}

/** The options of `hedgeDelays`. */
export type HedgeDelaysOptions = HedgePolicyOptions & {readonly history: StageHistory};

// An answer has hundreds of gaps, so a gap is slow only far out in the tail.
const gapsOfAnswer = 200;
const decodeFactor = 2;

function gapShare(share: number): number {
	return 1 - ((1 - share) / gapsOfAnswer);
}

/**
Names the history that the first stage of a request belongs to.

@param request The request.
@returns The key for `StageHistory`, the same for prompts of like size.
@example
```ts
history.record(stageKey(request), {stage: 'prefill', milliseconds});
```
*/
export function stageKey({model, version, promptTokens}: Omit<HedgedRequest, 'streamed'>): string {
	const promptClass = Math.floor(Math.log(Math.max(1, promptTokens)) / Math.log(promptClassBase));
	return `${versionKey(model, version)} ${promptClass}`;
}
