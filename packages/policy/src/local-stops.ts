import {
	type EffectiveConfiguration, type RolloutProgress, versionKey,
} from '@valehitch/core';
import {ownProperty} from './_own-property.js';
import {type BadVersionAlarm} from './bad-version-evidence.js';
import {type VersionTarget} from './version-target.js';

/** A version that this instance has stopped. */
export type LocalStop = {
	readonly alarm: BadVersionAlarm;
	/** When the version was stopped, as Unix time in milliseconds. */
	readonly at: number;
};

/** Options of `LocalStops`. */
export type LocalStopsOptions = {
	/** Milliseconds after which the stop of a settled version ends, unless the control replicas stopped the version for all instances. Defaults to 10 minutes. The stop of a version in rollout does not expire. */
	readonly settledStopMilliseconds?: number;
};

/** The configuration and time against which stops are checked. */
export type LocalStopContext = {
	readonly configuration: EffectiveConfiguration;
	/** Unix time in milliseconds. */
	readonly now: number;
};

const defaultSettledStopMilliseconds = 600_000;

/**
The versions that this instance has stopped locally, until the control replicas or an operator decide.

@example
```ts
stops.stop(alarm, now);
stops.isStopped({model, version}); // true
```
*/
export class LocalStops {
	readonly #settledStopMilliseconds: number;
	readonly #stops = new Map<string, LocalStop>();

	constructor({settledStopMilliseconds = defaultSettledStopMilliseconds}: LocalStopsOptions = {}) {
		this.#settledStopMilliseconds = settledStopMilliseconds;
	}

	/** The active stops. */
	get current(): readonly LocalStop[] {
		return [...this.#stops.values()];
	}

	/**
	Stops a version on this instance.

	@param alarm The alarm that causes the stop.
	@param now Unix time in milliseconds.
	*/
	stop(alarm: BadVersionAlarm, now: number): void {
		this.#stops.set(versionKey(alarm.model, alarm.version), {alarm, at: now});
	}

	/**
	Checks whether this instance has stopped a version.

	@param target The version.
	@returns Whether the version receives no new work on this instance.
	*/
	isStopped({model, version}: VersionTarget): boolean {
		return this.#stops.has(versionKey(model, version));
	}

	/**
	Ends the stops that are resolved: the version was withdrawn or removed, its rollout was restarted, or the stop of a settled version expired.

	@param context The configuration in force and the time.
	@returns The versions that are no longer stopped here.
	*/
	releaseEnded(context: LocalStopContext): readonly VersionTarget[] {
		const released: VersionTarget[] = [];
		for (const [key, stop] of this.#stops) {
			if (this.#hasEnded(stop, context)) {
				this.#stops.delete(key);
				released.push({model: stop.alarm.model, version: stop.alarm.version});
			}
		}

		return released;
	}

	#hasEnded({alarm: {model, version}, at}: LocalStop, {configuration, now}: LocalStopContext): boolean {
		const state = ownProperty(ownProperty(configuration.document.models, model)?.versions, version)?.state ?? 'withdrawn';
		const progress = ownProperty<string, RolloutProgress>(configuration.rollouts, versionKey(model, version));
		if (state === 'withdrawn') {
			return true;
		}

		if (progress?.status === 'running') {
			return progress.stage === 0 && progress.stageStartedAt > at;
		}

		return progress?.status !== 'stopped' && now - at >= this.#settledStopMilliseconds;
	}
}
