import {type RatingSummary} from '../../ratings/rating-summary.js';

/** Hands an instance's ratings and evidence to the leader of the control replicas; the reply is a `RatingSummaryReply`, or nothing where the asked one does not lead. */
export type RatingsMessage = {
	readonly scope: 'ratings';
	readonly type: 'report-evidence';
	readonly summary: RatingSummary;
};
