import {type Rollout, type RolloutStage} from './rollout.js';
import {type VersionEvidence} from './version-evidence.js';

/** The inputs for the evaluation of a rollout. */
export type NextRolloutStageOptions = {
	/** The counters of all entry instances for the service since the rollout was ordered. */
	readonly evidence: readonly VersionEvidence[];
	/** Milliseconds since the order. */
	readonly age: number;
};

type Tally = {
	answers: number;
	failures: number;
	latencySum: number;
};

/** The number of failures of the new version before its failure share is evaluated; below the 50 failures from which the time limit for a rollback counts. */
const minimumFailures = 4;
/** The margin by which the failure share must exceed that of the old version; above the random variation in a sample of a few dozen answers. */
const failureMargin = 0.12;
/** The number of successful answers of the new version on a route before its latency is evaluated. */
const minimumTimedAnswers = 8;
/** The ratio of mean latencies above which the new version counts as slow. Bad versions are several times slower, while a cold cache makes good ones up to twice as slow. */
const maximumLatencyRatio = 3;
/** The lowest mean latency that counts as slow, in milliseconds; below it, network jitter dominates the latency. */
const minimumSlowMilliseconds = 60;
/** The share of the duration after which the traffic of a version without faults begins to grow; sessions may use it from half of the duration on. */
const shiftShare = 0.58;
/** The share of the duration after which the old version receives no more requests; its streams can end in the remaining time. */
const completeShare = 0.88;

/**
Determines the next stage of a rollout. It is rolled back as soon as the new version fails significantly more often or is significantly slower than the old one on any route, and otherwise advances after set shares of its duration.

@param rollout The rollout.
@param options The inputs.
@returns The next stage, or `undefined` if the stage does not change.
@example
```ts
nextRolloutStage(rollout, {evidence, age: 9000});
```
*/
export function nextRolloutStage(rollout: Rollout, {evidence, age}: NextRolloutStageOptions): RolloutStage | undefined {
	const {target, duration, stage} = rollout;
	if (hasRegressed(evidence, target)) {
		return 'rolled-back';
	}

	if (stage === 'canary' && age >= shiftShare * duration) {
		return 'shifting';
	}

	return stage === 'shifting' && age >= completeShare * duration ? 'completed' : undefined;
}

function hasRegressed(evidence: readonly VersionEvidence[], target: string): boolean {
	const baseline = tallyByRoute(evidence.filter(({version}) => version !== target));
	const candidate = tallyByRoute(evidence.filter(({version}) => version === target));
	for (const [key, tally] of candidate) {
		const baselineTally = baseline.get(key) ?? {answers: 0, failures: 0, latencySum: 0};
		if (failsMore(tally, baselineTally) || isSlower(tally, baselineTally)) {
			return true;
		}
	}

	return false;
}

function failsMore(tally: Tally, baselineTally: Tally): boolean {
	return tally.failures >= minimumFailures && failureShare(tally) > failureShare(baselineTally) + failureMargin;
}

function isSlower(tally: Tally, baselineTally: Tally): boolean {
	const timed = tally.answers - tally.failures;
	const mean = meanLatency(tally);
	return timed >= minimumTimedAnswers && mean >= minimumSlowMilliseconds && baselineTally.answers > baselineTally.failures && mean > maximumLatencyRatio * meanLatency(baselineTally);
}

function failureShare({answers, failures}: Tally): number {
	return answers === 0 ? 0 : failures / answers;
}

function meanLatency({answers, failures, latencySum}: Tally): number {
	return latencySum / Math.max(1, answers - failures);
}

function tallyByRoute(evidence: readonly VersionEvidence[]): ReadonlyMap<string, Tally> {
	const tallies = new Map<string, Tally>();
	for (const {route, model, answers, failures, latencySum} of evidence) {
		const key = `${route} ${model}`;
		const tally = tallies.get(key) ?? {answers: 0, failures: 0, latencySum: 0};
		tally.answers += answers;
		tally.failures += failures;
		tally.latencySum += latencySum;
		tallies.set(key, tally);
	}

	return tallies;
}
