import {type EffectiveConfiguration} from '@valehitch/core';
import {qualityClass, type QualityObservation} from '@valehitch/policy';
import {type RequestMemory} from './request-memory.js';
import {type Rating} from './rating.js';

/** What became of a post of ratings. */
export type IntakeCount = {
	accepted: number;
	/** Ratings of a request that was rated before. */
	doubled: number;
	/** Ratings of a workspace, model or version that is not configured. */
	unknown: number;
};

/** What ratings are checked against and where they go. */
export type IntakeOptions = {
	readonly memory: RequestMemory;
	readonly configuration: EffectiveConfiguration;
	readonly observe: (observation: QualityObservation) => void;
};

/** The class of ratings whose rule is not known: they count for the tests of the version, and for no estimate of a rule. */
const otherClass = '*';

/**
Takes ratings in: by the request's own record where this instance served it, else by what the rating says.

@param ratings The ratings.
@param options Where to look requests up and where observations go.
@returns How many were accepted and passed over.
@example
```ts
takeRatings(ratings, {memory, configuration, observe}).accepted;
```
*/
export function takeRatings(ratings: readonly Rating[], {memory, configuration, observe}: IntakeOptions): IntakeCount {
	const count: IntakeCount = {accepted: 0, doubled: 0, unknown: 0};
	for (const rating of ratings) {
		if (!isConfigured(rating, configuration)) {
			count.unknown += 1;
			continue;
		}

		const served = memory.recall(rating.requestId);
		if (served === 'rated') {
			count.doubled += 1;
			continue;
		}

		observe(served === 'unknown'
			? ownWord(rating, configuration)
			: {
				model: served.model,
				version: served.version,
				qualityClass: qualityClass(served.workspace, served.rule),
				measure: served.measure,
				value: rating.rating,
				ranAt: served.ranAt,
			});
		count.accepted += 1;
	}

	return count;
}

function isConfigured({workspace, model, version}: Rating, {document: {models, workspaces}}: EffectiveConfiguration): boolean {
	return Object.hasOwn(workspaces, workspace)
		&& Object.hasOwn(models, model)
		&& Object.hasOwn(models[model]?.versions ?? {}, version);
}

function ownWord(rating: Rating, {document}: EffectiveConfiguration): QualityObservation {
	const {workspace, model, version, ratedAt} = rating;
	const isRule = document.workspaces[workspace]?.policy.some(({name}) => name === rating.class) ?? false;
	return {
		model, version, qualityClass: qualityClass(workspace, isRule ? rating.class : otherClass), measure: 'rating', value: rating.rating, ranAt: ratedAt,
	};
}
