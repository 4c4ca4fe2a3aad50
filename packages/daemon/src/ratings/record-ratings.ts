import {type EffectiveConfiguration} from '@valehitch/core';
import {qualityClass, type QualityObservation} from '@valehitch/policy';
import {type ServedRequestCache} from './served-request-cache.js';
import {type Rating} from './rating.js';

/** How many ratings of a request were accepted and ignored. */
export type RatingCounts = {
	accepted: number;
	/** Ratings of a request that has already been rated. */
	doubled: number;
	/** Ratings of a workspace, model or version that is not configured. */
	unknown: number;
};

/** The dependencies of `recordRatings`. */
export type RecordRatingsOptions = {
	readonly servedRequests: ServedRequestCache;
	readonly configuration: EffectiveConfiguration;
	readonly observe: (observation: QualityObservation) => void;
};

/** The class of ratings whose policy rule is unknown. They count for the tests of the version, but not for the quality estimate of any rule. */
const unknownRuleClass = '*';

/**
Records ratings as quality observations. If this instance served the rated request, the observation uses the record of the request; otherwise it uses the fields of the rating.

@param ratings The ratings.
@param options The served requests, the configuration and the receiver of observations.
@returns How many were accepted and ignored.
@example
```ts
recordRatings(ratings, {servedRequests, configuration, observe}).accepted;
```
*/
export function recordRatings(ratings: readonly Rating[], {servedRequests, configuration, observe}: RecordRatingsOptions): RatingCounts {
	const counts: RatingCounts = {accepted: 0, doubled: 0, unknown: 0};
	for (const rating of ratings) {
		if (!isConfigured(rating, configuration)) {
			counts.unknown += 1;
			continue;
		}

		const served = servedRequests.markRated(rating.requestId);
		if (served === 'rated') {
			counts.doubled += 1;
			continue;
		}

		observe(served === 'unknown'
			? observationFromRating(rating, configuration)
			: {
				model: served.model,
				version: served.version,
				qualityClass: qualityClass(served.workspace, served.rule),
				measure: served.measure,
				value: rating.rating,
				ranAt: served.ranAt,
			});
		counts.accepted += 1;
	}

	return counts;
}

function isConfigured({workspace, model, version}: Rating, {document: {models, workspaces}}: EffectiveConfiguration): boolean {
	return Object.hasOwn(workspaces, workspace)
		&& Object.hasOwn(models, model)
		&& Object.hasOwn(models[model]?.versions ?? {}, version);
}

function observationFromRating(rating: Rating, {document}: EffectiveConfiguration): QualityObservation {
	const {workspace, model, version, ratedAt} = rating;
	const isRule = document.workspaces[workspace]?.policy.some(({name}) => name === rating.class) ?? false;
	return {
		model, version, qualityClass: qualityClass(workspace, isRule ? rating.class : unknownRuleClass), measure: 'rating', value: rating.rating, ranAt: ratedAt,
	};
}
