import {
	type EffectiveConfiguration, type InstanceId, type RolloutProgress, versionKey,
} from '@valehitch/core';
import {alarmOf} from './_alarm-of.js';
import {badVersionLimit} from './_bad-version-limit.js';
import {own} from './_own.js';
import {type BadVersionAlarm, type EvidenceMeasure, type EvidenceReport} from './bad-version-evidence.js';
import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from './bad-version-settings.js';
import {ChangeDetector} from './change-detector.js';
import {type QualityBook, type QualityObservation} from './quality-book.js';
import {type VersionTarget} from './version-target.js';

/** What a monitor works with. */
export type BadVersionMonitorOptions = {
	readonly instance: InstanceId;
	/** When the instance started, in milliseconds since 1970. */
	readonly startedAt: number;
	/** Where observations are kept; the monitor adds them. */
	readonly book: QualityBook;
	/** `defaultBadVersionSettings` unless given. */
	readonly settings?: BadVersionSettingsByMeasure;
};

/** When an observation comes. */
export type ObservationMoment = {
	readonly configuration: EffectiveConfiguration;
	/** Milliseconds since 1970. */
	readonly now: number;
};

type Watched = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	badness: number;
	/** Observations since the instance started. */
	observations: number;
	/** When the roll-out began that the test is about, in milliseconds since 1970. */
	rolloutStartedAt: number | undefined;
};

/** The wealth of the boldest gamblers that makes a version suspicious; one to three bad ratings in a row do. */
const suspicion = 8;

/**
Tests the versions that this instance uses, on ratings and on failures, and sums up the evidence for the control replicas.

@example
```ts
const alarm = monitor.observe({...key, measure: 'failure', value: 1, ranAt: now}, {configuration, now});
if (alarm !== undefined) {
	stops.stop(alarm, now);
}
```
*/
export class BadVersionMonitor {
	readonly #options: BadVersionMonitorOptions;
	readonly #settings: BadVersionSettingsByMeasure;
	readonly #watched = new Map<string, Watched>();

	constructor(options: BadVersionMonitorOptions) {
		this.#options = options;
		this.#settings = options.settings ?? defaultBadVersionSettings;
	}

	/**
	Takes an observation into the book and, but for escalations, into the test.

	@param observation The observation.
	@param moment The configuration in force and the time.
	@returns The alarm, once, where the version is found bad by this observation.
	*/
	observe(observation: QualityObservation, {configuration, now}: ObservationMoment): BadVersionAlarm | undefined {
		const {book} = this.#options;
		const measure = observation.measure === 'failure' ? 'failures' : 'ratings';
		const limit = observation.measure === 'escalation'
			? undefined
			: badVersionLimit(observation, {
				book, configuration, settings: this.#settings[measure], now,
			});
		if (!book.add(observation) || limit === undefined) {
			return undefined;
		}

		const watched = this.#watch(observation, measure);
		const {detector} = watched;
		const startedAt = rolloutStart(configuration, observation);
		if (startedAt !== undefined && observation.ranAt < startedAt) {
			return undefined;
		}

		if (startedAt !== undefined && watched.rolloutStartedAt !== startedAt) {
			watched.rolloutStartedAt = startedAt;
			detector.reset();
		}

		const wasAlarmed = detector.isAlarmed;
		const badness = measure === 'failures' ? observation.value : 1 - observation.value;
		watched.badness += badness;
		watched.observations += 1;
		detector.observe({badness, limit});
		return detector.isAlarmed && !wasAlarmed
			? alarmOf({...watched, count: watched.observations, source: 'this instance'})
			: undefined;
	}

	/**
	Sums up the evidence for the control replicas.

	@returns A report for each version and measure.
	*/
	reports(): readonly EvidenceReport[] {
		const {instance, startedAt} = this.#options;
		const reports: EvidenceReport[] = [];
		for (const {model, version, measure, detector, badness, observations} of this.#watched.values()) {
			reports.push({
				instance, startedAt, model, version, measure, badness, count: observations, logWealth: [...detector.logWealth],
			});
		}

		return reports;
	}

	/**
	Finds what looks worse than allowed, though not by enough to stop it; its reports are worth sending first.

	@returns The versions and measures, the most suspicious first.
	*/
	suspects(): ReadonlyArray<Pick<EvidenceReport, 'model' | 'version' | 'measure'>> {
		return [...this.#watched.values()]
			.filter(({detector}) => detector.boldWealth >= suspicion)
			.toSorted((left, right) => right.detector.boldWealth - left.detector.boldWealth);
	}

	/**
	Tests a version anew, after its local stop has ended.

	@param target The version.
	*/
	reset({model, version}: VersionTarget): void {
		for (const watched of this.#watched.values()) {
			if (watched.model === model && watched.version === version) {
				watched.detector.reset();
			}
		}
	}

	/**
	Drops what is kept of versions that are no longer configured.

	@param configuration The configuration in force.
	*/
	retain({document}: EffectiveConfiguration): void {
		for (const [key, {model, version}] of this.#watched) {
			if (own(own(document.models, model)?.versions, version) === undefined) {
				this.#watched.delete(key);
			}
		}
	}

	#watch({model, version}: VersionTarget, measure: EvidenceMeasure): Watched {
		const key = `${versionKey(model, version)}|${measure}`;
		const known = this.#watched.get(key);
		if (known !== undefined) {
			return known;
		}

		const watched = {
			model, version, measure, detector: new ChangeDetector(this.#settings[measure].detector), badness: 0, observations: 0, rolloutStartedAt: undefined,
		};
		this.#watched.set(key, watched);
		return watched;
	}
}

/** When the roll-out of a version began, while it is in its first stage. */
function rolloutStart({rollouts}: EffectiveConfiguration, {model, version}: VersionTarget): number | undefined {
	const progress = own<string, RolloutProgress>(rollouts, versionKey(model, version));
	return progress?.status === 'running' && progress.stage === 0 ? progress.stageStartedAt : undefined;
}
