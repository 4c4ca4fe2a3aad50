import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type RandomSource, toId, toRevision, type VersionConfiguration, type VersionId, versionKey,
} from '@valehitch/core';
import {
	BadVersionMonitor, ChangeDetector, defaultBadVersionSettings, EvidenceAggregator, QualityStore, type VersionTarget,
} from '@valehitch/policy';
import {seededRandom} from './_seeded-random.js';

/** Parameters of a simulated rollout in which the new version may degrade. */
export type BadVersionTrial = {
	readonly seed: number;
	/** Mean rating of the new version after the degradation; 0.85 means no degradation. */
	readonly rating: number;
	/** Failure rate of the new version after the degradation; 0.01 means no degradation. */
	readonly failureShare: number;
};

/** Number of requests that the new version served between its degradation and its stop, by detector; undefined where the detector did not stop it. */
export type DetectionResult = Readonly<Record<string, number | undefined>>;

const requestsPerSecond = 25;
const durationSeconds = 1200;
const degradesAtSecond = 300;
const newVersionShare = 0.1;
const ratedShare = 0.1;
const instances = 7;
const goodRating = 0.85;
const goodFailureShare = 0.01;
const minimumRatingDelaySeconds = 10;
const maximumRatingDelaySeconds = 60;
const windowMargins = [0.05, 0.1, 0.2] as const;
const windowSizes = [10, 20, 50] as const;

const [replacedVersion, newVersion] = ['1', '2'].map(version => ({model: toId<ModelId>('m'), version: toId<VersionId>(version)})) as [VersionTarget, VersionTarget];
const listed = {state: 'settled', quality: goodRating, prices: {input: 1, output: 1}} as const;
const versions: Record<string, VersionConfiguration> = {1: listed, 2: {...listed, state: 'rolling-out', replaces: replacedVersion.version}};
const configuration: EffectiveConfiguration = {
	revision: toRevision(1),
	document: {models: {[newVersion.model]: {versions}}, services: {}, workspaces: {}},
	rollouts: {
		[versionKey(newVersion.model, newVersion.version)]: {
			...newVersion, stage: 0, status: 'running', stageStartedAt: 0,
		},
	},
};

type Observation = {
	readonly isNewVersion: boolean;
	readonly instance: number;
	readonly measure: 'rating' | 'failure';
	readonly value: number;
	readonly ranAt: number;
	readonly now: number;
};

type DetectorRule = {
	readonly name: string;
	/** Processes an observation; returns whether the version is stopped on all instances. */
	readonly observe: (observation: Observation) => boolean;
	/** Whether an instance has stopped the version locally. */
	readonly hasStopped: (instance: number) => boolean;
};

/**
Simulates one rollout with all detectors at once.

The load is 25 requests per second on 7 instances for 20 minutes. The new version serves 10 % of the requests and degrades after 5 minutes. Of all requests, 10 % are rated, 10 to 60 seconds later.

@param trial The seed and the quality after the degradation.
@returns The requests that the new version served after its degradation, by detector.
@example
```ts
runBadVersionTrial({seed: 1, rating: 0.45, failureShare: 0.01});
```
*/
export function runBadVersionTrial(trial: BadVersionTrial): DetectionResult {
	const random = seededRandom(trial.seed);
	const rules = [...windowRules(), pairRule(), monitorRule('e-detector, each instance alone', false), monitorRule('e-detector, and the sum of all', true)];
	const served = new Map(rules.map(({name}) => [name, 0]));
	const stopped = new Set<string>();
	const scheduledRatings = new Map<number, Observation[]>();
	for (let second = 0; second < durationSeconds && stopped.size < rules.length; second += 1) {
		const observations = [...scheduledRatings.get(second) ?? [], ...generateSecond(second, {trial, random, scheduledRatings})];
		scheduledRatings.delete(second);
		for (const rule of rules.filter(({name}) => !stopped.has(name))) {
			for (const observation of observations) {
				if (observation.isNewVersion && rule.hasStopped(observation.instance) && observation.ranAt === second) {
					continue;
				}

				if (observation.isNewVersion && observation.measure === 'failure' && second >= degradesAtSecond) {
					served.set(rule.name, (served.get(rule.name) ?? 0) + 1);
				}

				if (rule.observe(observation)) {
					stopped.add(rule.name);
					break;
				}
			}
		}
	}

	return Object.fromEntries(rules.map(rule => [rule.name, stopped.has(rule.name) || isStoppedEverywhere(rule) ? served.get(rule.name) : undefined]));
}

function isStoppedEverywhere({hasStopped}: DetectorRule): boolean {
	for (let instance = 0; instance < instances; instance += 1) {
		if (!hasStopped(instance)) {
			return false;
		}
	}

	return true;
}

type SecondOptions = {
	readonly trial: BadVersionTrial;
	readonly random: RandomSource;
	readonly scheduledRatings: Map<number, Observation[]>;
};

function generateSecond(second: number, {trial, random, scheduledRatings}: SecondOptions): Observation[] {
	const observations: Observation[] = [];
	for (let index = 0; index < requestsPerSecond; index += 1) {
		const isNewVersion = random() < newVersionShare;
		const isBad = isNewVersion && second >= degradesAtSecond;
		const common = {isNewVersion, instance: Math.floor(random() * instances), ranAt: second};
		const failureShare = isBad ? trial.failureShare : goodFailureShare;
		observations.push({
			...common, measure: 'failure', value: random() < failureShare ? 1 : 0, now: second,
		});
		if (random() < ratedShare) {
			const now = second + minimumRatingDelaySeconds + Math.floor(random() * (maximumRatingDelaySeconds - minimumRatingDelaySeconds));
			const spread = (random() + random() + random() - 1.5) * 0.3;
			const value = Math.min(1, Math.max(0, (isBad ? trial.rating : goodRating) + spread));
			scheduledRatings.set(now, [...scheduledRatings.get(now) ?? [], {
				...common, measure: 'rating', value, now,
			}]);
		}
	}

	return observations;
}

function windowRules(): DetectorRule[] {
	const rules: DetectorRule[] = [];
	for (const size of windowSizes) {
		for (const margin of windowMargins) {
			const recent = {rating: [] as number[], failure: [] as number[]};
			rules.push({
				name: `last ${size} against a margin of ${margin}`,
				hasStopped: () => false,
				observe({isNewVersion, measure, value}) {
					if (!isNewVersion) {
						return false;
					}

					const values = recent[measure];
					values.push(value);
					values.splice(0, values.length - size);
					const mean = values.reduce((sum, each) => sum + each, 0) / values.length;
					const isWorse = measure === 'rating' ? mean < goodRating - margin : mean > goodFailureShare + margin;
					return values.length === size && isWorse;
				},
			});
		}
	}

	return rules;
}

/** Applies the e-detector to pairs of one observation of each version: exact, and needs no estimate for the replaced version. */
function pairRule(): DetectorRule {
	const detectors = {rating: new ChangeDetector(defaultBadVersionSettings.ratings.detector), failure: new ChangeDetector(defaultBadVersionSettings.failures.detector)};
	const latest: Record<string, number | undefined> = {};
	return {
		name: 'e-detector on pairs, the sum of all',
		hasStopped: () => false,
		observe({isNewVersion, measure, value}) {
			const badness = measure === 'rating' ? 1 - value : value;
			const other = latest[measure];
			if (!isNewVersion || other === undefined) {
				latest[measure] = isNewVersion ? latest[measure] : badness;
				return false;
			}

			latest[measure] = undefined;
			detectors[measure].observe({badness: (1 + badness - other) / 2, limit: (1 + (measure === 'rating' ? 0.05 : 0.03)) / 2});
			return detectors[measure].isAlarmed;
		},
	};
}

function monitorRule(name: string, combinesEvidence: boolean): DetectorRule {
	const qualityStore = new QualityStore({instance: toId<InstanceId>('all'), startedAt: 0});
	const evidence = new EvidenceAggregator();
	const stopped = new Set<number>();
	const monitors = Array.from({length: instances}, (_, index) => new BadVersionMonitor({instance: toId<InstanceId>(`i${index}`), startedAt: 0, qualityStore}));
	return {
		name,
		hasStopped: instance => stopped.has(instance),
		observe({isNewVersion, instance, measure, value, ranAt, now}) {
			const monitor = monitors[instance];
			const alarm = monitor?.observe({
				...(isNewVersion ? newVersion : replacedVersion), qualityClass: 'yard/lookup', measure, value, ranAt: ranAt * 1000,
			}, {configuration, now: now * 1000});
			if (alarm !== undefined) {
				stopped.add(instance);
			}

			let isBad = false;
			for (const report of combinesEvidence && isNewVersion ? monitor?.reports() ?? [] : []) {
				isBad ||= evidence.merge(report) !== undefined && report.version === newVersion.version;
			}

			return isBad;
		},
	};
}
