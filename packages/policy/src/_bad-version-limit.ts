import {type EffectiveConfiguration, versionKey} from '@valehitch/core';
import {type BadVersionSettings} from './bad-version-settings.js';
import {ownProperty} from './_own-property.js';
import {type QualityStore} from './quality-store.js';
import {type QualityKey} from './quality-digest.js';

/** The inputs of `badVersionLimit`. */
export type BadVersionLimitOptions = {
	readonly qualityStore: QualityStore;
	readonly configuration: EffectiveConfiguration;
	readonly settings: BadVersionSettings;
	/** Unix time in milliseconds. */
	readonly now: number;
};

/** The prior mean for the share of failures, used before any failures were observed. */
const priorFailureShare = 0.01;
const boundConfidence = 2;
const maximumLimit = 0.99;

/**
Computes the highest mean badness at which a version is not considered bad.

For a version in rollout, the limit is the upper confidence bound of the badness of the version it replaces, plus the tolerance. A settled version is compared with its own history. Until enough history is known, it is compared with its listed quality, with a wider tolerance.

@param key The version, request class and measure.
@param options The quality store, the configuration, the settings and the time.
@returns The limit, or undefined if the version is not configured.
@example
```ts
badVersionLimit(key, {qualityStore, configuration, settings, now}); // 0.23
```
*/
export function badVersionLimit(key: QualityKey, {qualityStore, configuration, settings, now}: BadVersionLimitOptions): number | undefined {
	const versions = ownProperty(configuration.document.models, key.model)?.versions;
	const details = ownProperty(versions, key.version);
	if (details === undefined) {
		return undefined;
	}

	const isRollingOut = details.state === 'rolling-out'
		&& ownProperty(configuration.rollouts, versionKey(key.model, key.version))?.status !== 'completed';
	const baselineVersion = isRollingOut ? details.replaces ?? key.version : key.version;
	const priorQuality = ownProperty(versions, baselineVersion)?.quality ?? details.quality;
	const isFailure = key.measure === 'failure';
	const value = isFailure ? priorFailureShare : priorQuality;
	const baseline = qualityStore.estimate({...key, version: baselineVersion}, {prior: {value, confidence: boundConfidence}, now});
	const isBaselineKnown = baseline.weight >= settings.minimumBaselineWeight;
	if (!isBaselineKnown && baselineVersion === key.version) {
		// A short history may consist of the regression itself, so the listed value is used instead.
		return Math.min(maximumLimit, (isFailure ? value : 1 - value) + settings.coldStartTolerance);
	}

	const badness = isFailure ? baseline.upperBound : 1 - baseline.lowerBound;
	return Math.min(maximumLimit, badness + (isBaselineKnown ? settings.tolerance : settings.coldStartTolerance));
}
