import {
	type ModelId, type RandomSource, toId, type VersionId,
} from '@valehitch/core';
import {
	hedgeDelays, type HedgeDelays, RetryBudget, StageHistory,
} from '@valehitch/routing';
import {sampleExponential, quantileOf} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';

const requests = 40_000;
const tokens = 150;
const gapMilliseconds = 12;
const slowShare = 0.02;
const stallShare = 0.01;
const stallMilliseconds = 4000;
const version = {model: toId<ModelId>('tag-small'), version: toId<VersionId>('1.0')};

/** A simulated attempt: its time to the first chunk, and a pause (0 for none) after one of its tokens. */
type Attempt = {
	readonly prefill: number;
	readonly pause: number;
	readonly pauseAfter: number;
};

type HedgeRule = {
	readonly name: string;
	/** Returns the hedge delays for a prompt; undefined for no hedging. */
	readonly delays: (promptTokens: number, history: StageHistory) => HedgeDelays | undefined;
};

type Result = {
	readonly first: number;
	readonly last: number;
	readonly hedged: boolean;
};

/** Draws a random attempt: prefill takes 30 ms plus 0.12 ms per token, and eight times as long in 2 % of the attempts. */
function drawAttempt(promptTokens: number, random: RandomSource): Attempt {
	const slowdown = random() < slowShare ? 8 : 1;
	const prefill = slowdown * (30 + (0.12 * promptTokens)) * (0.7 + sampleExponential(0.3, random));
	const pause = random() < stallShare ? sampleExponential(stallMilliseconds, random) : 0;
	return {prefill, pause, pauseAfter: 1 + Math.floor(random() * (tokens - 1))};
}

function simulateRequest(first: Attempt, {second, delays}: {readonly second: Attempt; readonly delays: HedgeDelays | undefined}): Result {
	const decode = tokens * gapMilliseconds;
	const unhedged = {first: first.prefill, last: first.prefill + decode + first.pause, hedged: false};
	if (delays === undefined) {
		return unhedged;
	}

	if (first.prefill > delays.prefillMilliseconds) {
		const other = delays.prefillMilliseconds + second.prefill;
		const winner = other < first.prefill ? second : first;
		const start = Math.min(other, first.prefill);
		return {first: start, last: start + decode + winner.pause, hedged: true};
	}

	if (first.pause > delays.decodeMilliseconds) {
		const resumed = delays.decodeMilliseconds + second.prefill;
		return {first: first.prefill, last: first.prefill + decode + Math.min(first.pause, resumed), hedged: true};
	}

	return unhedged;
}

function recordLatencies(history: StageHistory, {promptTokens, first, shown}: {readonly promptTokens: number; readonly first: Attempt; readonly shown: Result}): void {
	// A cancelled attempt is recorded with the time elapsed until its cancellation.
	history.record(sizeClassOf(promptTokens), {stage: 'prefill', milliseconds: Math.min(first.prefill, shown.first)});
	history.record('tag-small@1.0', {stage: 'prefill', milliseconds: Math.min(first.prefill, shown.first)});
	history.record('tag-small@1.0', {stage: 'decode', milliseconds: gapMilliseconds});
	history.record('all prompts', {stage: 'whole', milliseconds: shown.last});
}

/** Returns the history key of a prompt size class; each class covers a factor of four. */
function sizeClassOf(promptTokens: number): string {
	return `class ${Math.floor(Math.log(promptTokens) / Math.log(4))}`;
}

function sizeClassRule(name: string, {quantile = 0.95, medianFactor = 0}: {readonly quantile?: number; readonly medianFactor?: number}): HedgeRule {
	return {
		name: `${name}, prompts of like size`,
		delays(promptTokens, history) {
			const late = history.quantile(sizeClassOf(promptTokens), {stage: 'prefill', quantile});
			const median = history.quantile(sizeClassOf(promptTokens), {stage: 'prefill', quantile: 0.5});
			const delay = Math.max(20, late ?? 0, medianFactor * (median ?? 0));
			return late === undefined ? undefined : {prefillMilliseconds: delay, decodeMilliseconds: delay};
		},
	};
}

const rules: readonly HedgeRule[] = [
	{name: 'none', delays: () => undefined},
	{name: 'fixed 500 ms', delays: () => ({prefillMilliseconds: 500, decodeMilliseconds: 500})},
	{name: 'fixed 2000 ms', delays: () => ({prefillMilliseconds: 2000, decodeMilliseconds: 2000})},
	{
		name: 'p95 of the whole answer',
		delays(_, history) {
			const whole = history.quantile('all prompts', {stage: 'whole', quantile: 0.95});
			return whole === undefined ? undefined : {prefillMilliseconds: whole, decodeMilliseconds: whole};
		},
	},
	{name: 'p95 of the stage, as shipped', delays: (_, history) => hedgeDelays({...version, streamed: true}, {history})},
	sizeClassRule('p95 of the stage', {}),
	sizeClassRule('p99 of the stage', {quantile: 0.99}),
	sizeClassRule('p95 and 2 medians of the stage', {medianFactor: 2}),
	sizeClassRule('p95 and 3 medians of the stage', {medianFactor: 3}),
];

function simulateRule(seed: number, rule: HedgeRule, budgetRatio: number): string {
	const random = seededRandom(seed);
	const history = new StageHistory();
	const budget = new RetryBudget({ratio: budgetRatio, burst: 20});
	const firsts: number[] = [];
	const lasts: number[] = [];
	let hedges = 0;
	let denied = 0;
	for (let index = 0; index < requests; index++) {
		// Four of five prompts are short.
		const promptTokens = random() < 0.8 ? 60 + Math.round(random() * 300) : 4000 + Math.round(random() * 8000);
		const first = drawAttempt(promptTokens, random);
		const second = drawAttempt(promptTokens, random);
		budget.deposit('key', index);
		let shown = simulateRequest(first, {second, delays: rule.delays(promptTokens, history)});
		if (shown.hedged && !budget.withdraw('key', index)) {
			denied++;
			shown = simulateRequest(first, {second, delays: undefined});
		}

		hedges += shown.hedged ? 1 : 0;
		firsts.push(shown.first);
		lasts.push(shown.last);
		recordLatencies(history, {promptTokens, first, shown});
	}

	const formatQuantiles = (values: readonly number[]) => [0.5, 0.95, 0.99, 0.999].map(quantile => Math.round(quantileOf(values, quantile))).join('/');
	const latencies = `first piece p50/p95/p99/p99.9 ${formatQuantiles(firsts)} ms, last ${formatQuantiles(lasts)} ms`;
	return `${latencies}; hedged ${(100 * hedges / requests).toFixed(1)} %, denied by the budget ${(100 * denied / requests).toFixed(1)} %`;
}

/**
Compares hedging rules on synthetic attempts.

@param seed The seed.
@returns The lines of the report.
@example
```ts
console.log(benchHedge(7).join('\n'));
```
*/
export function benchHedge(seed: number): string[] {
	const lines: string[] = [];
	for (const rule of rules) {
		lines.push(`hedge, ${rule.name}, budget 5 %: ${simulateRule(seed, rule, 0.05)}`);
	}

	for (const rule of rules) {
		lines.push(`hedge, ${rule.name}, no budget: ${simulateRule(seed, rule, 1)}`);
	}

	return lines;
}
