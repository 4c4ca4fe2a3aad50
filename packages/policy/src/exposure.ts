import {createHash} from 'node:crypto';
import {
	type EffectiveConfiguration, type RolloutProgress, type RolloutStage, versionKey,
} from '@valehitch/core';
import {ownProperty} from './_own-property.js';
import {type VersionTarget} from './version-target.js';

/** Whether a request may go to a version in rollout. All values except `exposed` are reasons against it. */
export type ExposureDecision = 'exposed' | 'not-running' | 'outside-share' | 'at-limit';

/** The inputs of the exposure decision. */
export type ExposureOptions = VersionTarget & {
	/** The session, or the request if it has no session. The same key is always assigned the same way within a stage. */
	readonly bucketingKey: string;
	/** The number of requests that this instance has in progress on the version. */
	readonly inProgress: number;
};

/** The default limit of requests in progress per instance on a version in rollout. */
export const defaultMaximumInProgress = 32;

const hashRange = 2 ** 32;

/**
Decides whether a new request falls within the traffic share of a rollout stage.

A request within a smaller share is also within every larger one, so advancing a stage never moves a request off the version. The hash includes the version, so that the shares of different versions are independent.

@param configuration The configuration in force.
@param options The version, the session or request, and the number of requests in progress.
@returns `exposed`, or the reason against it.
@example
```ts
decideExposure(configuration, {model, version, bucketingKey: requestId, inProgress: 3}); // 'outside-share'
```
*/
export function decideExposure(configuration: EffectiveConfiguration, options: ExposureOptions): ExposureDecision {
	const {model, version, bucketingKey, inProgress} = options;
	const key = versionKey(model, version);
	const stage = currentStage(configuration, {model, version});
	if (stage === undefined) {
		return 'not-running';
	}

	if (unitHash(`${key}/${bucketingKey}`) >= stage.share) {
		return 'outside-share';
	}

	return inProgress < (stage.maximumInProgress ?? defaultMaximumInProgress) ? 'exposed' : 'at-limit';
}

/**
Returns the current stage of a running rollout.

@param configuration The configuration in force.
@param target The version.
@returns The stage, or undefined if no rollout of the version is running.
@example
```ts
currentStage(configuration, {model, version})?.share;
```
*/
export function currentStage(configuration: EffectiveConfiguration, {model, version}: VersionTarget): RolloutStage | undefined {
	const progress = ownProperty<string, RolloutProgress>(configuration.rollouts, versionKey(model, version));
	return progress?.status === 'running'
		? ownProperty(ownProperty(configuration.document.models, model)?.versions, version)?.stages?.[progress.stage]
		: undefined;
}

/** Maps a text to a uniform number in [0, 1), using the first four bytes of its SHA-256 digest. */
function unitHash(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0) / hashRange;
}
