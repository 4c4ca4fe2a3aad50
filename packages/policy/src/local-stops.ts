import {
	type EffectiveConfiguration, type RolloutProgress, versionKey,
} from '@valehitch/core';
import {own} from './_own.js';
import {type BadVersionAlarm} from './bad-version-evidence.js';
import {type VersionTarget} from './version-target.js';

/** A version that this instance has stopped. */
export type LocalStop = {
	readonly alarm: BadVersionAlarm;
	/** When it was stopped, in milliseconds since 1970. */
	readonly at: number;
};

/** How long a stop lasts without the word of the control replicas. */
export type LocalStopsOptions = {
	/** Milliseconds after which a stop of a settled version ends, unless the control replicas stopped it for all; 10 minutes unless given. A stop of a version in roll-out does not end by time. */
	readonly settledStopMilliseconds?: number;
};

/** The state of the stops that changes with time. */
export type StopsMoment = {
	readonly configuration: EffectiveConfiguration;
	/** Milliseconds since 1970. */
	readonly now: number;
};

const defaultSettledStopMilliseconds = 600_000;

/**
The versions that this instance has stopped on its own, until the control replicas or an operator decide.

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

	/** The stops in force. */
	get current(): readonly LocalStop[] {
		return [...this.#stops.values()];
	}

	/**
	Stops a version on this instance.

	@param alarm What was found.
	@param now Milliseconds since 1970.
	*/
	stop(alarm: BadVersionAlarm, now: number): void {
		this.#stops.set(versionKey(alarm.model, alarm.version), {alarm, at: now});
	}

	/**
	Tells whether this instance has stopped a version.

	@param target The version.
	@returns Whether it gets no new work here.
	*/
	isStopped({model, version}: VersionTarget): boolean {
		return this.#stops.has(versionKey(model, version));
	}

	/**
	Ends the stops that are decided: the version was withdrawn or left out, its roll-out began anew, or the stop of a settled version ran out.

	@param moment The configuration in force and the time.
	@returns The versions that are no longer stopped here.
	*/
	release(moment: StopsMoment): readonly VersionTarget[] {
		const released: VersionTarget[] = [];
		for (const [key, stop] of this.#stops) {
			if (this.#isOver(stop, moment)) {
				this.#stops.delete(key);
				released.push({model: stop.alarm.model, version: stop.alarm.version});
			}
		}

		return released;
	}

	#isOver({alarm: {model, version}, at}: LocalStop, {configuration, now}: StopsMoment): boolean {
		const state = own(own(configuration.document.models, model)?.versions, version)?.state ?? 'withdrawn';
		const progress = own<string, RolloutProgress>(configuration.rollouts, versionKey(model, version));
		if (state === 'withdrawn') {
			return true;
		}

		if (progress?.status === 'running') {
			return progress.stage === 0 && progress.stageStartedAt > at;
		}

		return progress?.status !== 'stopped' && now - at >= this.#settledStopMilliseconds;
	}
}
