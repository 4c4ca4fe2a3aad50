import {type InstanceId} from '@valehitch/core';
import {type DecayedSums} from './decayed-sums.js';
import {type VersionTarget} from './version-target.js';

/**
What is estimated of a version in a class of requests: the ratings of its answers, the ratings of its answers that a cascade accepted, the share of its answers that a cascade escalated, and the share of its requests that failed.
*/
export type QualityMeasure = 'rating' | 'accepted-rating' | 'escalation' | 'failure';

/** Names one estimate. */
export type QualityKey = VersionTarget & {
	/** The class of requests: workspace and rule, see `qualityClass`. */
	readonly qualityClass: string;
	readonly measure: QualityMeasure;
};

/** The sums of one estimate. */
export type QualityEntry = QualityKey & {readonly sums: DecayedSums};

/** The sums of one instance since it started; a later digest replaces an earlier one entry by entry, so that digests may come twice, late or in any order. */
export type QualityDigest = {
	readonly instance: InstanceId;
	/** When the instance started, in milliseconds since 1970: its epoch. */
	readonly startedAt: number;
	readonly entries: readonly QualityEntry[];
};
