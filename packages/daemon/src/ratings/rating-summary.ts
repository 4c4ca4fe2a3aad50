import {
	type EvidenceReport, type QualityDigest, type QualityEntry, type QualityKey,
} from '@valehitch/policy';

/** What an instance tells the leader of the control replicas, at most once a second and in a bounded size; it may be lost or come twice. */
export type RatingSummary = QualityDigest & {
	/** Estimates that the instance uses and has no observations of. */
	readonly asked: readonly QualityKey[];
	readonly evidence: readonly EvidenceReport[];
};

/** What the leader answers: the sums of the other instances for the estimates in the summary. */
export type RatingSummaryReply = {
	readonly others: readonly QualityEntry[];
};
