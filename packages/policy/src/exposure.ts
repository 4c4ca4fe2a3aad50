import {createHash} from 'node:crypto';
import {
	type EffectiveConfiguration, type RolloutProgress, type RolloutStage, versionKey,
} from '@valehitch/core';
import {own} from './_own.js';
import {type VersionTarget} from './version-target.js';

/** Whether a request may go to a version in the middle of a roll-out; all but `exposed` are reasons why not. */
export type ExposureVerdict = 'exposed' | 'not-running' | 'outside-share' | 'at-limit';

/** What the exposure is decided for. */
export type ExposureOptions = VersionTarget & {
	/** The session, or else the request: the same one always gets the same answer within a stage. */
	readonly subject: string;
	/** Requests that this instance has in progress on the version. */
	readonly inProgress: number;
};

/** The most requests in progress on a version in roll-out, for each instance, where the stage does not say. */
export const defaultMaximumInProgress = 32;

const hashRange = 2 ** 32;

/**
Decides whether a new request is within the share of a roll-out's stage.

A request inside a smaller share is inside each larger one, so that a stage that grows takes nobody off the version. Versions share no luck: the hash covers the version as well.

@param configuration The configuration in force.
@param options The version, the session or request, and the requests in progress.
@returns `exposed`, or why not.
@example
```ts
exposure(configuration, {model, version, subject: requestId, inProgress: 3}); // 'outside-share'
```
*/
export function exposure(configuration: EffectiveConfiguration, options: ExposureOptions): ExposureVerdict {
	const {model, version, subject, inProgress} = options;
	const key = versionKey(model, version);
	const stage = currentStage(configuration, {model, version});
	if (stage === undefined) {
		return 'not-running';
	}

	if (unitHash(`${key}/${subject}`) >= stage.share) {
		return 'outside-share';
	}

	return inProgress < (stage.maximumInProgress ?? defaultMaximumInProgress) ? 'exposed' : 'at-limit';
}

/**
Finds the stage in force of a running roll-out.

@param configuration The configuration in force.
@param target The version.
@returns The stage, or undefined where no roll-out of the version is running.
@example
```ts
currentStage(configuration, {model, version})?.share;
```
*/
export function currentStage(configuration: EffectiveConfiguration, {model, version}: VersionTarget): RolloutStage | undefined {
	const progress = own<string, RolloutProgress>(configuration.rollouts, versionKey(model, version));
	return progress?.status === 'running'
		? own(own(configuration.document.models, model)?.versions, version)?.stages?.[progress.stage]
		: undefined;
}

/** The first bytes of a SHA-256 digest as a number from 0 up to 1. */
function unitHash(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0) / hashRange;
}
