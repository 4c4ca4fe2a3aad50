import {
	type EffectiveConfiguration, type InstanceId, type RolloutProgress, versionKey,
} from '@valehitch/core';
import {createAlarm} from './_create-alarm.js';
import {badVersionLimit} from './_bad-version-limit.js';
import {ownProperty} from './_own-property.js';
import {type BadVersionAlarm, type EvidenceMeasure, type EvidenceReport} from './bad-version-evidence.js';
import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from './bad-version-settings.js';
import {ChangeDetector} from './change-detector.js';
import {type QualityStore, type QualityObservation} from './quality-store.js';
import {type VersionTarget} from './version-target.js';

/** Options of `BadVersionMonitor`. */
export type BadVersionMonitorOptions = {
	readonly instance: InstanceId;
	/** When the instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** The quality store to which the monitor adds observations. */
	readonly qualityStore: QualityStore;
	/** Defaults to `defaultBadVersionSettings`. */
	readonly settings?: BadVersionSettingsByMeasure;
};

/** The configuration and time at which an observation is made. */
export type ObservationContext = {
	readonly configuration: EffectiveConfiguration;
	/** Unix time in milliseconds. */
	readonly now: number;
};

type MonitoredVersion = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	badness: number;
	/** Observations since the instance started. */
	observations: number;
	/** When the tested rollout began, as Unix time in milliseconds. */
	rolloutStartedAt: number | undefined;
};

/** The largest bet's wealth from which a version is a suspect. One to three bad ratings in a row reach it. */
const suspectWealth = 8;

/**
Tests the versions that this instance uses on their ratings and failures, and reports the evidence to the control replicas.

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
	readonly #monitored = new Map<string, MonitoredVersion>();

	constructor(options: BadVersionMonitorOptions) {
		this.#options = options;
		this.#settings = options.settings ?? defaultBadVersionSettings;
	}

	/**
	Adds an observation to the quality store and, unless it is an escalation, to the test.

	@param observation The observation.
	@param context The configuration in force and the time.
	@returns The alarm, if this observation is the one that raises it.
	*/
	observe(observation: QualityObservation, {configuration, now}: ObservationContext): BadVersionAlarm | undefined {
		const {qualityStore} = this.#options;
		const measure = observation.measure === 'failure' ? 'failures' : 'ratings';
		const limit = observation.measure === 'escalation'
			? undefined
			: badVersionLimit(observation, {
				qualityStore, configuration, settings: this.#settings[measure], now,
			});
		if (!qualityStore.add(observation) || limit === undefined) {
			return undefined;
		}

		const monitored = this.#monitoredVersion(observation, measure);
		const {detector} = monitored;
		const startedAt = firstStageStartedAt(configuration, observation);
		if (startedAt !== undefined && observation.ranAt < startedAt) {
			return undefined;
		}

		if (startedAt !== undefined && monitored.rolloutStartedAt !== startedAt) {
			monitored.rolloutStartedAt = startedAt;
			detector.reset();
		}

		const wasAlarmed = detector.isAlarmed;
		const badness = measure === 'failures' ? observation.value : 1 - observation.value;
		monitored.badness += badness;
		monitored.observations += 1;
		detector.observe({badness, limit});
		return detector.isAlarmed && !wasAlarmed
			? createAlarm({...monitored, count: monitored.observations, source: 'this instance'})
			: undefined;
	}

	/**
	Creates the evidence reports for the control replicas.

	@returns One report for each version and measure.
	*/
	reports(): readonly EvidenceReport[] {
		const {instance, startedAt} = this.#options;
		const reports: EvidenceReport[] = [];
		for (const {model, version, measure, detector, badness, observations} of this.#monitored.values()) {
			reports.push({
				instance, startedAt, model, version, measure, badness, count: observations, logWealth: [...detector.logWealth],
			});
		}

		return reports;
	}

	/**
	Finds versions that look worse than allowed, but not by enough to be stopped. Their reports should be sent first.

	@returns The versions and measures, the most suspicious first.
	*/
	suspects(): ReadonlyArray<Pick<EvidenceReport, 'model' | 'version' | 'measure'>> {
		return [...this.#monitored.values()]
			.filter(({detector}) => detector.largestBetWealth >= suspectWealth)
			.toSorted((left, right) => right.detector.largestBetWealth - left.detector.largestBetWealth);
	}

	/**
	Restarts the test of a version after its local stop has ended.

	@param target The version.
	*/
	reset({model, version}: VersionTarget): void {
		for (const monitored of this.#monitored.values()) {
			if (monitored.model === model && monitored.version === version) {
				monitored.detector.reset();
			}
		}
	}

	/**
	Removes the state of versions that are no longer configured.

	@param configuration The configuration in force.
	*/
	retain({document}: EffectiveConfiguration): void {
		for (const [key, {model, version}] of this.#monitored) {
			if (ownProperty(ownProperty(document.models, model)?.versions, version) === undefined) {
				this.#monitored.delete(key);
			}
		}
	}

	#monitoredVersion({model, version}: VersionTarget, measure: EvidenceMeasure): MonitoredVersion {
		const key = `${versionKey(model, version)}|${measure}`;
		const existing = this.#monitored.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const monitored = {
			model, version, measure, detector: new ChangeDetector(this.#settings[measure].detector), badness: 0, observations: 0, rolloutStartedAt: undefined,
		};
		this.#monitored.set(key, monitored);
		return monitored;
	}
}

/** Returns when the rollout of a version began, if it is running and in its first stage. */
function firstStageStartedAt({rollouts}: EffectiveConfiguration, {model, version}: VersionTarget): number | undefined {
	const progress = ownProperty<string, RolloutProgress>(rollouts, versionKey(model, version));
	return progress?.status === 'running' && progress.stage === 0 ? progress.stageStartedAt : undefined;
}
