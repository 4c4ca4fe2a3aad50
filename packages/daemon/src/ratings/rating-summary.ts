import {
	type EvidenceReport, type QualityDigest, type QualityEntry, type QualityKey,
} from '@valehitch/policy';

/** The bounded summary that an instance sends to the leader of the control replicas, at most once a second. It may be lost or delivered twice. */
export type RatingSummary = QualityDigest & {
	/** The estimates that the instance uses but has no observations for. */
	readonly asked: readonly QualityKey[];
	readonly evidence: readonly EvidenceReport[];
};

/** The reply of the leader: the sums over the other instances for the estimates in the summary. */
export type RatingSummaryReply = {
	readonly others: readonly QualityEntry[];
};
