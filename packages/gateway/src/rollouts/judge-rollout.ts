import {type Rollout, type RolloutStage} from './rollout.js';
import {type VersionEvidence} from './version-evidence.js';

/** What is known of a roll-out. */
export type JudgeRolloutOptions = {
	/** What all entry instances saw of the service since the order. */
	readonly evidence: readonly VersionEvidence[];
	/** Milliseconds since the order. */
	readonly age: number;
};

type Tally = {
	answers: number;
	failures: number;
	latencySum: number;
};

/** Failures of the new version before it can be judged by them: below the 50 at which the clock of a roll-back starts to run. */
const leastFailures = 4;
/** How much larger the share of failures must be than that of the old version: above the scatter of some tens of answers. */
const failureMargin = 0.12;
/** Good answers of the new version on a route before it can be judged by its speed. */
const leastTimed = 8;
/** How much slower the new version must be: bad versions are several times slower, and a cold cache makes good ones up to twice as slow. */
const slownessFactor = 3;
/** The shortest mean time that counts as slow, in milliseconds: below it the scatter of the network is most of the time. */
const leastSlowMilliseconds = 60;
/** The share of the duration after which the share of a version that showed no fault begins to grow: sessions try it from half on. */
const shiftShare = 0.58;
/** The share of the duration after which the old version is given up; the time between lets its streams end. */
const completeShare = 0.88;

/**
Decides whether a roll-out goes to its next stage: back as soon as the new version fails or slows on any route more than the old one, on after a part of its duration.

@param rollout The roll-out.
@param options What is known of it.
@returns The next stage, or undefined while it stays where it is.
@example
```ts
judgeRollout(rollout, {evidence, age: 9000});
```
*/
export function judgeRollout(rollout: Rollout, {evidence, age}: JudgeRolloutOptions): RolloutStage | undefined {
	const {target, duration, stage} = rollout;
	if (isWorse(evidence, target)) {
		return 'rolled-back';
	}

	if (stage === 'canary' && age >= shiftShare * duration) {
		return 'shifting';
	}

	return stage === 'shifting' && age >= completeShare * duration ? 'completed' : undefined;
}

function isWorse(evidence: readonly VersionEvidence[], target: string): boolean {
	const old = tallyByRoute(evidence.filter(({version}) => version !== target));
	const fresh = tallyByRoute(evidence.filter(({version}) => version === target));
	for (const [key, tally] of fresh) {
		const reference = old.get(key) ?? {answers: 0, failures: 0, latencySum: 0};
		if (failsMore(tally, reference) || isSlower(tally, reference)) {
			return true;
		}
	}

	return false;
}

function failsMore(tally: Tally, reference: Tally): boolean {
	return tally.failures >= leastFailures && share(tally) > share(reference) + failureMargin;
}

function isSlower(tally: Tally, reference: Tally): boolean {
	const timed = tally.answers - tally.failures;
	const mean = meanLatency(tally);
	return timed >= leastTimed && mean >= leastSlowMilliseconds && reference.answers > reference.failures && mean > slownessFactor * meanLatency(reference);
}

function share({answers, failures}: Tally): number {
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
