import {type InstanceId} from '@valehitch/core';
import {type VersionTarget} from './version-target.js';

/** What a test looks at: ratings, or the share of requests that the engine itself reported as failed. */
export type EvidenceMeasure = 'ratings' | 'failures';

/**
What one instance has seen of one version since the instance started.

Sums only grow: a later report of the same instance and start replaces the earlier one, so that a report that comes twice or late changes nothing, and sums of several instances add up.
*/
export type EvidenceReport = VersionTarget & {
	readonly instance: InstanceId;
	/** When the instance started, in milliseconds since 1970: its epoch. */
	readonly startedAt: number;
	readonly measure: EvidenceMeasure;
	/** Observations in the sums; orders the reports. */
	readonly count: number;
	/** The sum of the observations, from 0 (good) to 1 (bad) each. */
	readonly badness: number;
	/** For each fixed bet the logarithm of its wealth, in nats. */
	readonly logWealth: readonly number[];
};

/** A version found bad. */
export type BadVersionAlarm = VersionTarget & {
	readonly measure: EvidenceMeasure;
	/** Observations until the alarm. */
	readonly count: number;
	/** The evidence (e-value) against the version; the alarm goes off at the threshold. */
	readonly evidence: number;
	readonly threshold: number;
	/** The reason in words, for operators. */
	readonly reason: string;
};

/** The evidence on a version over all instances, for the steps of a roll-out. */
export type VersionEvidence = {
	readonly ratings: number;
	readonly meanRating: number;
	readonly outcomes: number;
	readonly failureShare: number;
	/** Set once the version was found bad. */
	readonly alarm?: BadVersionAlarm;
};
