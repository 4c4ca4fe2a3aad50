import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type RandomSource, toId, toRevision, type VersionConfiguration, type VersionId, versionKey,
} from '@valehitch/core';
import {
	BadVersionMonitor, ChangeDetector, defaultBadVersionSettings, EvidenceTable, QualityBook, type VersionTarget,
} from '@valehitch/policy';
import {seededRandom} from './_seeded-random.js';

/** A roll-out in which the new version may turn bad. */
export type BadVersionTrial = {
	readonly seed: number;
	/** The mean rating of the new version after it turned; 0.85 is as good as before. */
	readonly rating: number;
	/** Its share of failures after it turned; 0.01 is as good as before. */
	readonly failureShare: number;
};

/** Requests that the new version served after it turned, until each detector stopped it; undefined where it did not. */
export type TrialResult = Readonly<Record<string, number | undefined>>;

const requestsPerSecond = 25;
const seconds = 1200;
const turnsAtSecond = 300;
const share = 0.1;
const ratedShare = 0.1;
const instances = 7;
const goodRating = 0.85;
const goodFailureShare = 0.01;
const earliestRating = 10;
const latestRating = 60;
const windowMargins = [0.05, 0.1, 0.2] as const;
const windowSizes = [10, 20, 50] as const;

const [replaced, fresh] = ['1', '2'].map(version => ({model: toId<ModelId>('m'), version: toId<VersionId>(version)})) as [VersionTarget, VersionTarget];
const listed = {state: 'settled', quality: goodRating, prices: {input: 1, output: 1}} as const;
const versions: Record<string, VersionConfiguration> = {1: listed, 2: {...listed, state: 'rolling-out', replaces: replaced.version}};
const configuration: EffectiveConfiguration = {
	revision: toRevision(1),
	document: {models: {[fresh.model]: {versions}}, services: {}, workspaces: {}},
	rollouts: {
		[versionKey(fresh.model, fresh.version)]: {
			...fresh, stage: 0, status: 'running', stageStartedAt: 0,
		},
	},
};

type Seen = {
	readonly isFresh: boolean;
	readonly instance: number;
	readonly measure: 'rating' | 'failure';
	readonly value: number;
	readonly ranAt: number;
	readonly now: number;
};

type Rule = {
	readonly name: string;
	/** Takes an observation and tells whether the version is stopped for all. */
	readonly observe: (seen: Seen) => boolean;
	/** Whether one instance has stopped on its own. */
	readonly hasStopped: (instance: number) => boolean;
};

/**
Runs one seeded roll-out past all detectors at once: 25 requests a second on 7 instances for 20 minutes, a tenth of them on the new version, a tenth of all rated 10 to 60 seconds later; the version turns after 5 minutes.

@param trial The seed and what the version turns into.
@returns The requests it served after it turned, by detector.
@example
```ts
runBadVersionTrial({seed: 1, rating: 0.45, failureShare: 0.01});
```
*/
export function runBadVersionTrial(trial: BadVersionTrial): TrialResult {
	const random = seededRandom(trial.seed);
	const rules = [...windowRules(), pairRule(), bettingRule('e-detector, each instance alone', false), bettingRule('e-detector, and the sum of all', true)];
	const served = new Map(rules.map(({name}) => [name, 0]));
	const stopped = new Set<string>();
	const due = new Map<number, Seen[]>();
	for (let second = 0; second < seconds && stopped.size < rules.length; second += 1) {
		const seen = [...due.get(second) ?? [], ...drawSecond(second, {trial, random, due})];
		due.delete(second);
		for (const rule of rules.filter(({name}) => !stopped.has(name))) {
			for (const found of seen) {
				if (found.isFresh && rule.hasStopped(found.instance) && found.ranAt === second) {
					continue;
				}

				if (found.isFresh && found.measure === 'failure' && second >= turnsAtSecond) {
					served.set(rule.name, (served.get(rule.name) ?? 0) + 1);
				}

				if (rule.observe(found)) {
					stopped.add(rule.name);
					break;
				}
			}
		}
	}

	return Object.fromEntries(rules.map(rule => [rule.name, stopped.has(rule.name) || isStoppedEverywhere(rule) ? served.get(rule.name) : undefined]));
}

function isStoppedEverywhere({hasStopped}: Rule): boolean {
	for (let instance = 0; instance < instances; instance += 1) {
		if (!hasStopped(instance)) {
			return false;
		}
	}

	return true;
}

type Draw = {
	readonly trial: BadVersionTrial;
	readonly random: RandomSource;
	readonly due: Map<number, Seen[]>;
};

function drawSecond(second: number, {trial, random, due}: Draw): Seen[] {
	const seen: Seen[] = [];
	for (let index = 0; index < requestsPerSecond; index += 1) {
		const isFresh = random() < share;
		const isBad = isFresh && second >= turnsAtSecond;
		const common = {isFresh, instance: Math.floor(random() * instances), ranAt: second};
		const failureShare = isBad ? trial.failureShare : goodFailureShare;
		seen.push({
			...common, measure: 'failure', value: random() < failureShare ? 1 : 0, now: second,
		});
		if (random() < ratedShare) {
			const now = second + earliestRating + Math.floor(random() * (latestRating - earliestRating));
			const spread = (random() + random() + random() - 1.5) * 0.3;
			const value = Math.min(1, Math.max(0, (isBad ? trial.rating : goodRating) + spread));
			due.set(now, [...due.get(now) ?? [], {
				...common, measure: 'rating', value, now,
			}]);
		}
	}

	return seen;
}

function windowRules(): Rule[] {
	const rules: Rule[] = [];
	for (const size of windowSizes) {
		for (const margin of windowMargins) {
			const recent = {rating: [] as number[], failure: [] as number[]};
			rules.push({
				name: `last ${size} against a margin of ${margin}`,
				hasStopped: () => false,
				observe({isFresh, measure, value}) {
					if (!isFresh) {
						return false;
					}

					const values = recent[measure];
					values.push(value);
					values.splice(0, values.length - size);
					const mean = values.reduce((sum, found) => sum + found, 0) / values.length;
					const isWorse = measure === 'rating' ? mean < goodRating - margin : mean > goodFailureShare + margin;
					return values.length === size && isWorse;
				},
			});
		}
	}

	return rules;
}

/** Bets on pairs of one observation of each version: exact, and without an estimate of the replaced version. */
function pairRule(): Rule {
	const detectors = {rating: new ChangeDetector(defaultBadVersionSettings.ratings.detector), failure: new ChangeDetector(defaultBadVersionSettings.failures.detector)};
	const latest: Record<string, number | undefined> = {};
	return {
		name: 'e-detector on pairs, the sum of all',
		hasStopped: () => false,
		observe({isFresh, measure, value}) {
			const badness = measure === 'rating' ? 1 - value : value;
			const other = latest[measure];
			if (!isFresh || other === undefined) {
				latest[measure] = isFresh ? latest[measure] : badness;
				return false;
			}

			latest[measure] = undefined;
			detectors[measure].observe({badness: (1 + badness - other) / 2, limit: (1 + (measure === 'rating' ? 0.05 : 0.03)) / 2});
			return detectors[measure].isAlarmed;
		},
	};
}

function bettingRule(name: string, addsUp: boolean): Rule {
	const book = new QualityBook({instance: toId<InstanceId>('all'), startedAt: 0});
	const table = new EvidenceTable();
	const stopped = new Set<number>();
	const monitors = Array.from({length: instances}, (_, index) => new BadVersionMonitor({instance: toId<InstanceId>(`i${index}`), startedAt: 0, book}));
	return {
		name,
		hasStopped: instance => stopped.has(instance),
		observe({isFresh, instance, measure, value, ranAt, now}) {
			const monitor = monitors[instance];
			const alarm = monitor?.observe({
				...(isFresh ? fresh : replaced), qualityClass: 'yard/lookup', measure, value, ranAt: ranAt * 1000,
			}, {configuration, now: now * 1000});
			if (alarm !== undefined) {
				stopped.add(instance);
			}

			let isBad = false;
			for (const report of addsUp && isFresh ? monitor?.reports() ?? [] : []) {
				isBad ||= table.merge(report) !== undefined && report.version === fresh.version;
			}

			return isBad;
		},
	};
}
