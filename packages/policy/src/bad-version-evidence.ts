import {type InstanceId} from '@valehitch/core';
import {type VersionTarget} from './version-target.js';

/** The measure under test: ratings, or the share of requests that the engine itself reported as failed. */
export type EvidenceMeasure = 'ratings' | 'failures';

/**
The evidence on one version that one instance has collected since it started.

Sums only grow. A later report of the same instance and start replaces the earlier one, so duplicated and delayed reports have no effect, and the sums of several instances can be added.
*/
export type EvidenceReport = VersionTarget & {
	readonly instance: InstanceId;
	/** When the instance started, as Unix time in milliseconds. Serves as the instance's epoch. */
	readonly startedAt: number;
	readonly measure: EvidenceMeasure;
	/** The number of observations in the sums. Orders the reports of one start. */
	readonly count: number;
	/** The sum of the badness of the observations, each from 0 (good) to 1 (bad). */
	readonly badness: number;
	/** The natural logarithm of the wealth of each bet in `betFractions`. */
	readonly logWealth: readonly number[];
};

/** An alarm for a version that was found bad. */
export type BadVersionAlarm = VersionTarget & {
	readonly measure: EvidenceMeasure;
	/** The number of observations up to the alarm. */
	readonly count: number;
	/** The evidence (e-value) against the version. The alarm is raised when it reaches `threshold`. */
	readonly evidence: number;
	readonly threshold: number;
	/** The reason as text for operators. */
	readonly reason: string;
};

/** The evidence on a version over all instances, which decides whether its rollout advances. */
export type VersionEvidence = {
	readonly ratings: number;
	readonly meanRating: number;
	readonly outcomes: number;
	readonly failureShare: number;
	/** The alarm, once the version was found bad. */
	readonly alarm?: BadVersionAlarm;
};
