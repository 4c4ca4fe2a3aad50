import {type InstanceId} from '@valehitch/core';
import {type DecayedSums} from './decayed-sums.js';
import {type VersionTarget} from './version-target.js';

/**
A quantity estimated for a version in a request class: the ratings of its answers, the ratings of its answers that a cascade accepted, the share of its answers that a cascade escalated, or the share of its requests that failed.
*/
export type QualityMeasure = 'rating' | 'accepted-rating' | 'escalation' | 'failure';

/** The key of an estimate. */
export type QualityKey = VersionTarget & {
	/** The request class, made of workspace and rule; see `qualityClass`. */
	readonly qualityClass: string;
	readonly measure: QualityMeasure;
};

/** An estimate's key and its decayed sums. */
export type QualityEntry = QualityKey & {readonly sums: DecayedSums};

/**
The sums that one instance has accumulated since it started.

A later digest replaces an earlier one entry by entry, so digests may be duplicated, delayed or reordered.
*/
export type QualityDigest = {
	readonly instance: InstanceId;
	/** When the instance started, as Unix time in milliseconds. Serves as the instance's epoch. */
	readonly startedAt: number;
	readonly entries: readonly QualityEntry[];
};
