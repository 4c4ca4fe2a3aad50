import {type RatingSummary} from '../../ratings/rating-summary.js';

/** Sends the ratings and evidence of an instance to the leader of the control replicas. The reply is a `RatingSummaryReply`, or undefined if the receiver is not the leader. */
export type RatingsMessage = {
	readonly scope: 'ratings';
	readonly type: 'report-evidence';
	readonly summary: RatingSummary;
};
