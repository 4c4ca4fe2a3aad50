import {type EffectiveConfiguration, type InstanceId, versionKey} from '@valehitch/core';
import {alarmOf} from './_alarm-of.js';
import {
	type BadVersionAlarm, type EvidenceMeasure, type EvidenceReport, type VersionEvidence,
} from './bad-version-evidence.js';
import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from './bad-version-settings.js';
import {ChangeDetector, fixedBets} from './change-detector.js';
import {own} from './_own.js';
import {type VersionTarget} from './version-target.js';

type Latest = Pick<EvidenceReport, 'startedAt' | 'count' | 'badness' | 'logWealth'>;

type Tested = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	readonly latest: Map<InstanceId, Latest>;
	count: number;
	badness: number;
	alarm: BadVersionAlarm | undefined;
};

type Mark = {
	readonly stageStartedAt: number;
	/** Ratings at the first question with that start. */
	readonly ratings: number;
	/** Whether the alarm was told. */
	isTold: boolean;
};

/**
Adds up the evidence of all instances and tests each version on the sum; kept by the leader of the control replicas, and empty after a change of leader until the instances report again.

A report that comes twice or after a newer one changes nothing: of each instance and start only what is new counts.

@example
```ts
const alarm = table.merge(report);
if (alarm !== undefined) {
	await propose({type: 'stop-version', model: alarm.model, version: alarm.version, reason: alarm.reason, at});
}
```
*/
export class EvidenceTable {
	readonly #settings: BadVersionSettingsByMeasure;
	readonly #tested = new Map<string, Tested>();
	readonly #marks = new Map<string, Mark>();

	/**
	@param settings When a version counts as bad; `defaultBadVersionSettings` unless given.
	*/
	constructor(settings: BadVersionSettingsByMeasure = defaultBadVersionSettings) {
		this.#settings = settings;
	}

	/**
	Takes a report.

	@param report The sums of one instance.
	@returns The alarm, once, where the version is found bad by this report.
	*/
	merge(report: EvidenceReport): BadVersionAlarm | undefined {
		const tested = this.#test(report, report.measure);
		const added = newPart(report, tested.latest.get(report.instance));
		if (added === undefined) {
			return undefined;
		}

		const {startedAt, count, badness, logWealth} = report;
		tested.latest.set(report.instance, {
			startedAt, count, badness, logWealth,
		});
		tested.count += added.count;
		tested.badness += added.badness;
		tested.detector.advance({observations: added.count, logWealth: added.logWealth});
		if (!tested.detector.isAlarmed || tested.alarm !== undefined) {
			return undefined;
		}

		tested.alarm = alarmOf({...tested, source: 'all instances'});
		return tested.alarm;
	}

	/**
	Gives the evidence on a version, for the steps of its roll-out. Once an alarm was told, a later start means that the version was stopped and listed anew: it is tested anew.

	@param target The version.
	@param stageStartedAt When the stage in force began, in milliseconds since 1970; ratings that were there at the first question with it are not counted.
	@returns The evidence; `ratings` counts those since the stage began.
	*/
	evidence(target: VersionTarget, stageStartedAt: number): VersionEvidence {
		const key = versionKey(target.model, target.version);
		const earlier = this.#marks.get(key);
		if (earlier?.isTold === true && earlier.stageStartedAt !== stageStartedAt) {
			this.reset(target);
		}

		const ratings = this.#test(target, 'ratings');
		const failures = this.#test(target, 'failures');
		const alarm = ratings.alarm ?? failures.alarm;
		const known = this.#marks.get(key);
		const mark = known?.stageStartedAt === stageStartedAt ? known : {stageStartedAt, ratings: ratings.count, isTold: false};
		mark.isTold ||= alarm !== undefined;
		this.#marks.set(key, mark);
		return {
			ratings: ratings.count - mark.ratings,
			meanRating: ratings.count === 0 ? 0 : 1 - (ratings.badness / ratings.count),
			outcomes: failures.count,
			failureShare: failures.count === 0 ? 0 : failures.badness / failures.count,
			...(alarm !== undefined && {alarm}),
		};
	}

	/**
	Begins anew for a version whose roll-out begins anew; what was reported before is not counted again.

	@param target The version.
	*/
	reset(target: VersionTarget): void {
		for (const measure of ['ratings', 'failures'] as const) {
			const tested = this.#test(target, measure);
			tested.detector.reset();
			tested.alarm = undefined;
			tested.count = 0;
			tested.badness = 0;
		}

		this.#marks.delete(versionKey(target.model, target.version));
	}

	/**
	Drops what is kept of versions that are no longer configured.

	@param configuration The configuration in force.
	*/
	retain({document}: EffectiveConfiguration): void {
		for (const [key, {model, version}] of this.#tested) {
			if (own(own(document.models, model)?.versions, version) === undefined) {
				this.#tested.delete(key);
				this.#marks.delete(versionKey(model, version));
			}
		}
	}

	#test({model, version}: VersionTarget, measure: EvidenceMeasure): Tested {
		const key = `${versionKey(model, version)}|${measure}`;
		const known = this.#tested.get(key);
		if (known !== undefined) {
			return known;
		}

		const tested: Tested = {
			model,
			version,
			measure,
			detector: new ChangeDetector(this.#settings[measure].detector),
			latest: new Map(),
			count: 0,
			badness: 0,
			alarm: undefined,
		};
		this.#tested.set(key, tested);
		return tested;
	}
}

/** What a report adds to the last one of the same instance; undefined where it adds nothing or is not sound. */
function newPart(report: EvidenceReport, known: Latest | undefined): Pick<EvidenceReport, 'count' | 'badness' | 'logWealth'> | undefined {
	const {startedAt, count, badness, logWealth} = report;
	if (logWealth.length !== fixedBets.length || !logWealth.every(value => Number.isFinite(value))) {
		return undefined;
	}

	if (known === undefined || startedAt > known.startedAt) {
		return {count, badness, logWealth};
	}

	if (startedAt < known.startedAt || count <= known.count) {
		return undefined;
	}

	return {
		count: count - known.count,
		badness: badness - known.badness,
		logWealth: logWealth.map((value, index) => value - (known.logWealth[index] ?? 0)),
	};
}
