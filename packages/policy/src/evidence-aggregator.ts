import {type EffectiveConfiguration, type InstanceId, versionKey} from '@valehitch/core';
import {createAlarm} from './_create-alarm.js';
import {
	type BadVersionAlarm, type EvidenceMeasure, type EvidenceReport, type VersionEvidence,
} from './bad-version-evidence.js';
import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from './bad-version-settings.js';
import {ChangeDetector, betFractions} from './change-detector.js';
import {ownProperty} from './_own-property.js';
import {type VersionTarget} from './version-target.js';

type LatestReport = Pick<EvidenceReport, 'startedAt' | 'count' | 'badness' | 'logWealth'>;

type VersionTest = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	readonly latest: Map<InstanceId, LatestReport>;
	count: number;
	badness: number;
	alarm: BadVersionAlarm | undefined;
};

type StageBaseline = {
	readonly stageStartedAt: number;
	/** The number of ratings when the stage was first seen. */
	readonly ratings: number;
	/** Whether the alarm was returned to the caller. */
	isAlarmReported: boolean;
};

/**
Aggregates the evidence of all instances and tests each version on the total. The leader of the control replicas keeps it; after a change of leader it is empty until the instances report again.

Only the increase over the last report of the same instance and start counts, so duplicated and outdated reports have no effect.

@example
```ts
const alarm = table.merge(report);
if (alarm !== undefined) {
	await propose({type: 'stop-version', model: alarm.model, version: alarm.version, reason: alarm.reason, at});
}
```
*/
export class EvidenceAggregator {
	readonly #settings: BadVersionSettingsByMeasure;
	readonly #tests = new Map<string, VersionTest>();
	readonly #stageBaselines = new Map<string, StageBaseline>();

	/**
	@param settings The criteria for a bad version. Defaults to `defaultBadVersionSettings`.
	*/
	constructor(settings: BadVersionSettingsByMeasure = defaultBadVersionSettings) {
		this.#settings = settings;
	}

	/**
	Adds a report.

	@param report The sums of one instance.
	@returns The alarm, if this report is the one that raises it.
	*/
	merge(report: EvidenceReport): BadVersionAlarm | undefined {
		const test = this.#versionTest(report, report.measure);
		const delta = reportDelta(report, test.latest.get(report.instance));
		if (delta === undefined) {
			return undefined;
		}

		const {startedAt, count, badness, logWealth} = report;
		test.latest.set(report.instance, {
			startedAt, count, badness, logWealth,
		});
		test.count += delta.count;
		test.badness += delta.badness;
		test.detector.observeSummed({observations: delta.count, logWealth: delta.logWealth});
		if (!test.detector.isAlarmed || test.alarm !== undefined) {
			return undefined;
		}

		test.alarm = createAlarm({...test, source: 'all instances'});
		return test.alarm;
	}

	/**
	Returns the evidence on a version that decides on its rollout. After an alarm was returned, a different stage start means that the version was stopped and rolled out again, so the test restarts.

	@param target The version.
	@param stageStartedAt When the current stage began, as Unix time in milliseconds. Ratings that were present at the first call with this value are not counted.
	@returns The evidence. `ratings` counts the ratings since the stage began.
	*/
	evidence(target: VersionTarget, stageStartedAt: number): VersionEvidence {
		const key = versionKey(target.model, target.version);
		const previous = this.#stageBaselines.get(key);
		if (previous?.isAlarmReported === true && previous.stageStartedAt !== stageStartedAt) {
			this.reset(target);
		}

		const ratings = this.#versionTest(target, 'ratings');
		const failures = this.#versionTest(target, 'failures');
		const alarm = ratings.alarm ?? failures.alarm;
		const current = this.#stageBaselines.get(key);
		const baseline = current?.stageStartedAt === stageStartedAt ? current : {stageStartedAt, ratings: ratings.count, isAlarmReported: false};
		baseline.isAlarmReported ||= alarm !== undefined;
		this.#stageBaselines.set(key, baseline);
		return {
			ratings: ratings.count - baseline.ratings,
			meanRating: ratings.count === 0 ? 0 : 1 - (ratings.badness / ratings.count),
			outcomes: failures.count,
			failureShare: failures.count === 0 ? 0 : failures.badness / failures.count,
			...(alarm !== undefined && {alarm}),
		};
	}

	/**
	Restarts the test of a version whose rollout restarts. Evidence that was reported before is not counted again.

	@param target The version.
	*/
	reset(target: VersionTarget): void {
		for (const measure of ['ratings', 'failures'] as const) {
			const test = this.#versionTest(target, measure);
			test.detector.reset();
			test.alarm = undefined;
			test.count = 0;
			test.badness = 0;
		}

		this.#stageBaselines.delete(versionKey(target.model, target.version));
	}

	/**
	Removes the state of versions that are no longer configured.

	@param configuration The configuration in force.
	*/
	retain({document}: EffectiveConfiguration): void {
		for (const [key, {model, version}] of this.#tests) {
			if (ownProperty(ownProperty(document.models, model)?.versions, version) === undefined) {
				this.#tests.delete(key);
				this.#stageBaselines.delete(versionKey(model, version));
			}
		}
	}

	#versionTest({model, version}: VersionTarget, measure: EvidenceMeasure): VersionTest {
		const key = `${versionKey(model, version)}|${measure}`;
		const existing = this.#tests.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const test: VersionTest = {
			model,
			version,
			measure,
			detector: new ChangeDetector(this.#settings[measure].detector),
			latest: new Map(),
			count: 0,
			badness: 0,
			alarm: undefined,
		};
		this.#tests.set(key, test);
		return test;
	}
}

/** Returns the increase over the last report of the same instance, or undefined if there is none or the report is invalid. */
function reportDelta(report: EvidenceReport, previous: LatestReport | undefined): Pick<EvidenceReport, 'count' | 'badness' | 'logWealth'> | undefined {
	const {startedAt, count, badness, logWealth} = report;
	if (logWealth.length !== betFractions.length || !logWealth.every(value => Number.isFinite(value))) {
		return undefined;
	}

	if (previous === undefined || startedAt > previous.startedAt) {
		return {count, badness, logWealth};
	}

	if (startedAt < previous.startedAt || count <= previous.count) {
		return undefined;
	}

	return {
		count: count - previous.count,
		badness: badness - previous.badness,
		logWealth: logWealth.map((value, index) => value - (previous.logWealth[index] ?? 0)),
	};
}
