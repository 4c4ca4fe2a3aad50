import {type EffectiveConfiguration, versionKey} from '@valehitch/core';
import {type BadVersionSettings} from './bad-version-settings.js';
import {own} from './_own.js';
import {type QualityBook} from './quality-book.js';
import {type QualityKey} from './quality-digest.js';

/** What the limit is worked out from. */
export type LimitOptions = {
	readonly book: QualityBook;
	readonly configuration: EffectiveConfiguration;
	readonly settings: BadVersionSettings;
	/** Milliseconds since 1970. */
	readonly now: number;
};

/** A share of failures that any version may have before something is known of it. */
const listedFailureShare = 0.01;
const boundConfidence = 2;
const largestLimit = 0.99;

/**
Works out the mean badness up to which a version is not bad: that of the version it replaces, at the upper bound, and the tolerance; a settled version is measured against its own past, and against its listed quality with a wide tolerance until enough of its past is known.

@param key The version, the class and the measure.
@param options The book, the configuration and the settings.
@returns The limit, or undefined where the version is not configured.
@example
```ts
badVersionLimit(key, {book, configuration, settings, now}); // 0.23
```
*/
export function badVersionLimit(key: QualityKey, {book, configuration, settings, now}: LimitOptions): number | undefined {
	const versions = own(configuration.document.models, key.model)?.versions;
	const details = own(versions, key.version);
	if (details === undefined) {
		return undefined;
	}

	const isRollingOut = details.state === 'rolling-out'
		&& own(configuration.rollouts, versionKey(key.model, key.version))?.status !== 'completed';
	const against = isRollingOut ? details.replaces ?? key.version : key.version;
	const listed = own(versions, against)?.quality ?? details.quality;
	const isFailure = key.measure === 'failure';
	const value = isFailure ? listedFailureShare : listed;
	const known = book.estimate({...key, version: against}, {prior: {value, confidence: boundConfidence}, now});
	const isKnown = known.weight >= settings.knownWeight;
	if (!isKnown && against === key.version) {
		// A short past may be the bad time itself.
		return Math.min(largestLimit, (isFailure ? value : 1 - value) + settings.coldTolerance);
	}

	const badness = isFailure ? known.upperBound : 1 - known.lowerBound;
	return Math.min(largestLimit, badness + (isKnown ? settings.tolerance : settings.coldTolerance));
}
