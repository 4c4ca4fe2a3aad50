import {type VersionId} from '@valehitch/core';
import {type Rollout} from './rollout.js';
import {countStarted, type VersionEvidence} from './version-evidence.js';

/** How a new version is worse than the old one: it fails more often on a route, or is slower on a route or over all routes. */
export type Regression = 'failures' | 'slow-route' | 'slow';

type Tally = {
	answers: number;
	failures: number;
	/** The number of answers with a known time to the first byte. */
	timed: number;
	/** The sum of these times, in milliseconds. */
	timeSum: number;
};

type ComparedTimes = {
	/** The number of compared times. */
	readonly timed: number;
	/** Their sum, in milliseconds. */
	readonly observed: number;
	/** The sum that the old version would have taken, in milliseconds. */
	readonly expected: number;
};

const emptyTally: Readonly<Tally> = {
	answers: 0, failures: 0, timed: 0, timeSum: 0,
};
/** The number of failures of the new version before its failure share is evaluated; below the 50 failures from which the time limit for a rollback counts. */
const minimumFailures = 4;
/** The margin by which the failure share, less its standard error, must exceed that of the old version. */
const failureMargin = 0.12;
/** The number of timed answers of the new version before its latency is evaluated, on a route and over all routes. */
const minimumTimedAnswers = 8;
/** The ratio of mean latencies above which the new version counts as slow. Bad versions are several times slower, while a cold cache makes good ones up to twice as slow. */
const maximumLatencyRatio = 3;
/** The latency ratio over all routes that cold caches explain, and while the traffic grows, cold caches under load. A version counts as slow if its ratio exceeds this significantly. */
const explainedLatencyRatios: Readonly<Record<'canary' | 'shifting', number>> = {canary: 2, shifting: 3};
/** The scatter of the times to the first byte on one route and model, relative to their mean. */
const relativeScatter = 1;
/** The number of standard errors that count as significant; the evidence is evaluated many times during a rollout. */
const significantErrors = 2.5;
/** The lowest mean latency that counts as slow, in milliseconds; below it, network jitter dominates the latency. */
const minimumSlowMilliseconds = 60;

/**
Determines whether the new version of a rollout fails significantly more often or is significantly slower than the old one.

@param rollout The rollout.
@param evidence The counters of all entry instances for the service.
@returns How it is worse, or `undefined` if it is not.
@example
```ts
findRegression(rollout, evidence);
```
*/
export function findRegression({target, stage}: Pick<Rollout, 'target' | 'stage'>, evidence: readonly VersionEvidence[]): Regression | undefined {
	const {baseline, candidate} = tallyVersions(target, evidence);
	for (const [key, tally] of candidate) {
		const baselineTally = baseline.get(key) ?? emptyTally;
		if (failsMore(tally, baselineTally)) {
			return 'failures';
		}

		if (isSlower(tally, baselineTally)) {
			return 'slow-route';
		}
	}

	const explainedRatio = explainedLatencyRatios[stage === 'canary' ? 'canary' : 'shifting'];
	return isSlowerOverall(compareTimes(candidate, baseline), explainedRatio) ? 'slow' : undefined;
}

/**
Returns how many times as long as the old version the new one takes to the first byte, over all routes and models.

@param target The new version.
@param evidence The counters of all entry instances for the service.
@returns The ratio; `undefined` if no times can be compared.
@example
```ts
latencyRatio('v2', evidence);
```
*/
export function latencyRatio(target: VersionId, evidence: readonly VersionEvidence[]): number | undefined {
	const {baseline, candidate} = tallyVersions(target, evidence);
	const {observed, expected} = compareTimes(candidate, baseline);
	return expected === 0 ? undefined : observed / expected;
}

function tallyVersions(target: VersionId, evidence: readonly VersionEvidence[]): {readonly baseline: ReadonlyMap<string, Tally>; readonly candidate: ReadonlyMap<string, Tally>} {
	return {
		baseline: tallyByRoute(evidence.filter(({version}) => version !== target)),
		candidate: tallyByRoute(evidence.filter(({version}) => version === target)),
	};
}

function failsMore(tally: Tally, baselineTally: Tally): boolean {
	const share = failureShare(tally);
	const standardError = Math.sqrt(share * (1 - share) / Math.max(1, tally.answers));
	return tally.failures >= minimumFailures && share - standardError > failureShare(baselineTally) + failureMargin;
}

function isSlower(tally: Tally, baselineTally: Tally): boolean {
	const mean = meanLatency(tally);
	return tally.timed >= minimumTimedAnswers && mean >= minimumSlowMilliseconds && baselineTally.timed > 0 && mean > maximumLatencyRatio * meanLatency(baselineTally);
}

/** Compares the observed times with those that the old version would have taken on the same routes and models, since few answers on each add up to many. */
function compareTimes(candidate: ReadonlyMap<string, Tally>, baseline: ReadonlyMap<string, Tally>): ComparedTimes {
	let timed = 0;
	let observed = 0;
	let expected = 0;
	for (const [key, tally] of candidate) {
		const baselineTally = baseline.get(key) ?? emptyTally;
		if (baselineTally.timed === 0) {
			continue;
		}

		timed += tally.timed;
		observed += tally.timeSum;
		expected += tally.timed * meanLatency(baselineTally);
	}

	return {timed, observed, expected};
}

function isSlowerOverall({timed, observed, expected}: ComparedTimes, explainedRatio: number): boolean {
	const lowestFactor = 1 - (significantErrors * relativeScatter / Math.sqrt(timed));
	return timed >= minimumTimedAnswers && observed >= timed * minimumSlowMilliseconds && observed * lowestFactor > explainedRatio * expected;
}

function failureShare({answers, failures}: Tally): number {
	return answers === 0 ? 0 : failures / answers;
}

function meanLatency({timed, timeSum}: Tally): number {
	return timeSum / Math.max(1, timed);
}

function tallyByRoute(evidence: readonly VersionEvidence[]): ReadonlyMap<string, Tally> {
	const tallies = new Map<string, Tally>();
	for (const counter of evidence) {
		const {route, model, answers, failures} = counter;
		const {started, startSum} = countStarted(counter);
		const key = `${route} ${model}`;
		const tally = tallies.get(key) ?? {...emptyTally};
		tally.answers += answers;
		tally.failures += failures;
		tally.timed += started;
		tally.timeSum += startSum;
		tallies.set(key, tally);
	}

	return tallies;
}
