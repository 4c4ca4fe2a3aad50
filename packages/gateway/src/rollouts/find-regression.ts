import {type Rollout} from './rollout.js';
import {compareWaits} from './compare-waits.js';
import {type VersionEvidence} from './version-evidence.js';
import {
	compareTimes, type ComparedTimes, emptyTally, meanLatency, type Tally, tallyVersions, type VersionTallies,
} from './_version-tallies.js';

/** How a new version is worse than the old one: it fails more often on a route, is slower on a route or over all routes, or leaves requests waiting longer. */
export type Regression = 'failures' | 'slow-route' | 'slow' | 'waiting';

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
/** The number of wait intervals by which the new version may be slower: a factor of 1.4. */
const explainedIntervals = 1;
/** The number of answers that must have been expected before waits are compared. */
const minimumExpectedAnswers = 16;
/** The number of standard errors by which fewer answers than expected have to have begun. */
const significantWaitErrors = 4;
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
	if (isSlowerOverall(compareTimes(candidate, baseline), explainedRatio)) {
		return 'slow';
	}

	return isWaitedForLonger(candidate, baseline) ? 'waiting' : undefined;
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

function isSlowerOverall({timed, observed, expected}: ComparedTimes, explainedRatio: number): boolean {
	const lowestFactor = 1 - (significantErrors * relativeScatter / Math.sqrt(timed));
	return timed >= minimumTimedAnswers && observed >= timed * minimumSlowMilliseconds && observed * lowestFactor > explainedRatio * expected;
}

function isWaitedForLonger(candidate: VersionTallies, baseline: VersionTallies): boolean {
	const waits = [...candidate].map(([key, tally]) => ({candidate: tally.waits, baseline: (baseline.get(key) ?? emptyTally).waits}));
	const {observed, expected, variance} = compareWaits(waits, explainedIntervals);
	return expected >= minimumExpectedAnswers && expected - observed > significantWaitErrors * Math.sqrt(variance);
}

function failureShare({answers, failures}: Tally): number {
	return answers === 0 ? 0 : failures / answers;
}
