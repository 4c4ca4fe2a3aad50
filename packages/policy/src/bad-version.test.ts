import test from 'ava';
import {type InstanceId, toId} from '@valehitch/core';
import fc from 'fast-check';
import {
	type BadVersionAlarm, BadVersionMonitor, ChangeDetector, type EvidenceReport, EvidenceAggregator, LocalStops, QualityStore, type QualityMeasure,
} from './mod.js';
import {
	configurationOf, rollingOutVersion, settledVersion, target, testSeed,
} from './_test-configuration.js';
import {seededRandom} from './_test-random.js';

const configuration = configurationOf({m: {1: settledVersion(0.85, 1), 2: rollingOutVersion(0.85, 0.05)}});
const [replaced, newVersion] = [target('m', '1'), target('m', '2')];

function monitorOf(name: string): BadVersionMonitor {
	const identity = {instance: toId<InstanceId>(name), startedAt: 1};
	return new BadVersionMonitor({...identity, qualityStore: new QualityStore(identity)});
}

test('the length of a history that a new leader receives at once does not count as evidence', t => {
	const detector = new ChangeDetector({falseAlarmShare: 0.05, horizon: 1000});
	detector.observeSummed({observations: 1_000_000, logWealth: detector.logWealth.map(() => 0)});
	t.false(detector.isAlarmed);
	t.is(detector.evidence, 1);
});

type Stream = {
	readonly seed: number;
	readonly measure: QualityMeasure;
	/** Returns the value of an observation, given the version, the observation's index and a random source. */
	readonly valueOf: (isNewVersion: boolean, index: number, random: () => number) => number;
	readonly length: number;
	/** The number of observations of the replaced version for each one of the new version. Defaults to 3. */
	readonly replacedShare?: number;
};

/** Runs a rollout of the new version next to the replaced one. Returns the index of the new version's observation that raises the alarm, NaN if the alarm is for the replaced version, or undefined if there is none. */
function runStream({seed, measure, valueOf, length, replacedShare = 3}: Stream): number | undefined {
	const random = seededRandom(seed);
	const monitor = monitorOf('a');
	for (let index = 0; index < length; index += 1) {
		for (const isNewVersion of [...Array.from({length: replacedShare}, () => false), true]) {
			const alarm = monitor.observe({
				...(isNewVersion ? newVersion : replaced), qualityClass: 'yard/lookup', measure, value: valueOf(isNewVersion, index, random), ranAt: index,
			}, {configuration, now: index});
			if (alarm !== undefined) {
				return isNewVersion ? index : Number.NaN;
			}
		}
	}

	return undefined;
}

function noisyRating(mean: number, random: () => number): number {
	return Math.min(1, Math.max(0, mean + ((random() + random() + random() - 1.5) * 0.3)));
}

test('at the boundary of the null hypothesis, 2,000 streams of 1,000 observations raise fewer false alarms than the bound of 1 %', t => {
	let alarms = 0;
	for (let stream = 0; stream < 2000; stream += 1) {
		const random = seededRandom(testSeed + stream);
		const detector = new ChangeDetector({falseAlarmShare: 0.01, horizon: 1000});
		for (let index = 0; index < 1000; index += 1) {
			detector.observe({badness: random() < 0.2 ? 1 : 0, limit: 0.2});
		}

		alarms += detector.isAlarmed ? 1 : 0;
	}

	t.log(`${alarms} false alarms in 2,000 streams from seed ${testSeed}`);
	t.true(alarms / 2000 < 0.01, `${alarms} false alarms in 2,000 streams from seed ${testSeed}, expected fewer than 20`);
});

test('a rollout as good as the version it replaces is stopped in fewer than 1 % of 2,000 streams of ratings or failures', t => {
	let alarms = 0;
	for (let stream = 0; stream < 1000; stream += 1) {
		const options = {seed: testSeed + stream, length: 300, replacedShare: 1};
		const ratings = runStream({...options, measure: 'rating', valueOf: (_isNewVersion, _index, random) => noisyRating(0.85, random)});
		const failures = runStream({...options, measure: 'failure', valueOf: (_isNewVersion, _index, random) => random() < 0.02 ? 1 : 0});
		alarms += Number(ratings !== undefined) + Number(failures !== undefined);
	}

	t.log(`${alarms} false alarms in 2,000 streams from seed ${testSeed}`);
	t.true(alarms / 2000 < 0.01, `${alarms} false alarms in 2,000 streams from seed ${testSeed}, expected fewer than 20`);
});

test('a version that is bad from the start or regresses later is always found within 100 observations', t => {
	let worst = 0;
	for (let stream = 0; stream < 200; stream += 1) {
		for (const regressesAt of [0, 300]) {
			const seed = testSeed + stream;
			const ratings = runStream({
				seed, measure: 'rating', length: regressesAt + 200, valueOf: (isNewVersion, index, random) => noisyRating(isNewVersion && index >= regressesAt ? 0.45 : 0.85, random),
			});
			const failures = runStream({
				seed, measure: 'failure', length: regressesAt + 200, valueOf: (isNewVersion, index, random) => random() < (isNewVersion && index >= regressesAt ? 0.4 : 0.01) ? 1 : 0,
			});
			worst = Math.max(worst, (ratings ?? Number.NaN) - regressesAt, (failures ?? Number.NaN) - regressesAt);
		}
	}

	t.log(`Detected after at most ${worst} observations of the version over 800 streams from seed ${testSeed}`);
	t.true(worst <= 100, `Detected after ${worst} observations, expected at most 100 in each stream from seed ${testSeed}`);
});

function reportsOf(name: string, values: readonly number[]): readonly EvidenceReport[] {
	const monitor = monitorOf(name);
	const reports: EvidenceReport[] = [];
	for (const [index, value] of values.entries()) {
		monitor.observe({
			...newVersion, qualityClass: 'yard/lookup', measure: 'rating', value, ranAt: index,
		}, {configuration, now: index});
		reports.push(...monitor.reports());
	}

	return reports;
}

test('reports of several instances add up in any order, and duplicated or outdated reports have no effect', t => {
	const valuesArbitrary = fc.array(fc.double({min: 0, max: 1, noNaN: true}), {minLength: 1, maxLength: 10});
	t.notThrows(() => {
		fc.assert(fc.property(valuesArbitrary, valuesArbitrary, fc.array(fc.nat(), {maxLength: 30}), (first, second, order) => {
			const reports = [...reportsOf('a', first), ...reportsOf('b', second)];
			const ordered = new EvidenceAggregator();
			const shuffled = new EvidenceAggregator();
			const late = order.map(index => reports[index % reports.length]).filter(report => report !== undefined);
			for (const report of [...late, ...reports, ...late.toReversed()]) {
				shuffled.merge(report);
				shuffled.merge(report);
			}

			for (const report of reports) {
				ordered.merge(report);
			}

			const [expected, actual] = [ordered, shuffled].map(table => {
				table.evidence(newVersion, 0);
				return table.evidence(newVersion, 0);
			});
			return Math.abs((expected?.meanRating ?? 0) - (actual?.meanRating ?? 1)) < 1e-9;
		}), {seed: testSeed, numRuns: 300});
	});
});

test('evidence that is weak on each of many instances raises the alarm in total', t => {
	const table = new EvidenceAggregator();
	let alarm: BadVersionAlarm | undefined;
	for (let instance = 0; instance < 40 && alarm === undefined; instance += 1) {
		for (const report of reportsOf(`i${instance}`, [0.1, 0.2])) {
			alarm ??= table.merge(report);
		}
	}

	t.like(alarm, {...newVersion, measure: 'ratings'});
	t.is(table.evidence(newVersion, 5).ratings, 0);
	t.deepEqual(table.evidence(newVersion, 5).alarm, alarm);
	table.reset(newVersion);
	t.is(table.evidence(newVersion, 6).alarm, undefined);
	t.is(table.merge({...reportsOf('x', [1])[0]!, logWealth: [Number.NaN]}), undefined);
});

test('a local stop lasts until the version is withdrawn or rolled out again, and that of a settled version expires', t => {
	const alarm = {
		...newVersion, measure: 'ratings', count: 1, evidence: 100, threshold: 100, reason: 'test',
	} as const;
	const stops = new LocalStops({settledStopMilliseconds: 1000});
	stops.stop(alarm, 10);
	t.deepEqual(stops.releaseEnded({configuration, now: 1e9}), []);
	t.true(stops.isStopped(newVersion));
	const restarted = configurationOf({m: {1: settledVersion(0.85, 1), 2: rollingOutVersion(0.85, 0.05)}});
	const progress = {
		...restarted.rollouts['m@2'], ...newVersion, stage: 0, status: 'running', stageStartedAt: 20,
	} as const;
	t.deepEqual(stops.releaseEnded({configuration: {...restarted, rollouts: {'m@2': progress}}, now: 30}), [newVersion]);
	stops.stop({...alarm, ...replaced}, 10);
	t.deepEqual(stops.releaseEnded({configuration, now: 1009}), []);
	t.deepEqual(stops.releaseEnded({configuration, now: 1010}), [replaced]);
});

test('a restarted rollout restarts the test, and late ratings of the previous rollout do not count', t => {
	const table = new EvidenceAggregator();
	const bad = reportsOf('a', Array.from({length: 60}, () => 0.1));
	for (const report of bad) {
		table.merge(report);
	}

	const firstStart = 10;
	t.not(table.evidence(newVersion, firstStart).alarm, undefined);
	t.not(table.evidence(newVersion, firstStart).alarm, undefined);
	t.is(table.evidence(newVersion, firstStart + 1000).alarm, undefined);
	t.is(table.merge(bad.at(-1)!), undefined);
	t.is(table.evidence(newVersion, firstStart + 1000).alarm, undefined);

	const monitor = monitorOf('b');
	const observe = (startedAt: number, ranAt: number): BadVersionAlarm | undefined => {
		const rollouts = {
			'm@2': {
				...newVersion, stage: 0, status: 'running', stageStartedAt: startedAt,
			} as const,
		};
		return monitor.observe({
			...newVersion, qualityClass: 'yard/lookup', measure: 'rating', value: 0.1, ranAt,
		}, {configuration: {...configuration, rollouts}, now: ranAt});
	};

	const observationsUntilAlarm = (startedAt: number, ranAt: number): number => {
		let count = 1;
		while (count < 100 && observe(startedAt, ranAt) === undefined) {
			count += 1;
		}

		return count;
	};

	const first = observationsUntilAlarm(0, 50);
	t.true(first < 100);
	t.is(observationsUntilAlarm(100, 50), 100);
	const second = observationsUntilAlarm(100, 150);
	t.true(second > 5 && second < 100, `Alarm raised after ${second} observations, expected 6 to 99`);
});

test('a settled version that regresses before its history is known is detected against its listed quality', t => {
	let worst = 0;
	for (let stream = 0; stream < 200; stream += 1) {
		const random = seededRandom(testSeed + stream);
		const monitor = monitorOf('a');
		const observe = (index: number, mean: number): BadVersionAlarm | undefined => monitor.observe({
			// Ten classes, so that none has enough history when the version regresses.
			...replaced, qualityClass: `desk-${index % 10}/lookup`, measure: 'rating', value: noisyRating(mean, random), ranAt: index,
		}, {configuration, now: index});
		let count = 0;
		while (count < 100 && observe(count, 0.85) === undefined) {
			count += 1;
		}

		t.is(count, 100, `False alarm after ${count} ratings from seed ${testSeed + stream}`);
		let found = 1;
		while (found < 100 && observe(count + found, 0.3) === undefined) {
			found += 1;
		}

		worst = Math.max(worst, found);
	}

	t.log(`Detected after at most ${worst} ratings over 200 streams from seed ${testSeed}`);
	t.true(worst < 40, `Detected after ${worst} ratings, expected fewer than 40 from seed ${testSeed}`);
});

test('a good version is rarely a suspect, and a regressed version becomes one within a few ratings', t => {
	let suspected = 0;
	let worst = 0;
	const ratings = 300;
	for (let stream = 0; stream < 50; stream += 1) {
		const random = seededRandom(testSeed + stream);
		const monitor = monitorOf('a');
		const observe = (index: number, mean: number): boolean => {
			monitor.observe({
				...replaced, qualityClass: 'yard/lookup', measure: 'rating', value: noisyRating(mean, random), ranAt: index,
			}, {configuration, now: index});
			return monitor.suspects().length > 0;
		};

		for (let index = 0; index < ratings; index += 1) {
			suspected += Number(observe(index, 0.85));
		}

		let found = 1;
		while (found < ratings && !observe(ratings + found, 0.3)) {
			found += 1;
		}

		worst = Math.max(worst, found);
	}

	const share = suspected / (50 * ratings);
	t.log(`A suspect at ${share.toFixed(4)} of the good ratings, and after at most ${worst} bad ones, from seed ${testSeed}`);
	t.true(share < 0.1, `Suspect at a share of ${share}, expected less than 0.1 from seed ${testSeed}`);
	t.true(worst <= 5, `Suspect after ${worst} bad ratings, expected at most 5 from seed ${testSeed}`);
});
