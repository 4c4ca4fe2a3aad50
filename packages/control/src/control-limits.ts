/** The bounds of what the replicated state keeps; part of the state, so that every replica drops the same. */
export type ControlLimits = {
	/** Change ids that are remembered; 4096 by default, 1 to 1000000. */
	readonly changeIds: number;
	/** Milliseconds for which a change id is remembered; 7 days by default, 1000 to 31622400000 (366 days). */
	readonly changeIdMilliseconds: number;
	/** Claims kept for one workspace; 2500 by default, 1 to 1000000, 781 bytes each. */
	readonly claimsPerWorkspace: number;
	/** Milliseconds for which a settled claim is kept, where the count allows it; 1 day by default, 1000 to 31622400000. */
	readonly claimMilliseconds: number;
	/** Milliseconds for which a settled claim is kept in any case; a full workspace is refused rather than forgotten earlier; 10 minutes by default, 1000 to 31622400000 and at most claimMilliseconds. */
	readonly claimMinimumMilliseconds: number;
	/** Milliseconds after which a claim that its owner never settled turns to unknown; 65 minutes by default, 1000 to 31622400000. */
	readonly claimOpenMilliseconds: number;
	/** The largest body of an answer that is kept, in bytes; 16384 by default, 0 to 1048576. */
	readonly keptAnswerBytes: number;
	/** Bytes of kept bodies for one workspace; the oldest are dropped first, their digests stay; 524288 by default, 0 to 1073741824. */
	readonly keptAnswerBytesPerWorkspace: number;
	/** Bills that are kept for reading before they go to the archive; 5000 by default, 1 to 1000000, 671 bytes each. */
	readonly recentBills: number;
	/** Bills without an origin that are remembered, to pass over a second copy; 20000 by default, 1 to 10000000. */
	readonly billWindow: number;
	/** Milliseconds after its last bill for which an origin of bills is remembered; 30 days by default, 60000 to 31622400000. */
	readonly originMilliseconds: number;
	/** Open orders for one server; 64 by default, 1 to 10000. */
	readonly openOrdersPerServer: number;
	/** Completed orders that are kept; 1000 by default, 1 to 1000000. */
	readonly completedOrders: number;
};

const minute = 60_000;
const day = 1440 * minute;

/** The bounds until a `set-limits` command replaces them. */
export const defaultControlLimits: ControlLimits = {
	changeIds: 4096,
	changeIdMilliseconds: 7 * day,
	claimsPerWorkspace: 2500,
	claimMilliseconds: day,
	claimMinimumMilliseconds: 10 * minute,
	claimOpenMilliseconds: 65 * minute,
	keptAnswerBytes: 16_384,
	keptAnswerBytesPerWorkspace: 524_288,
	recentBills: 5000,
	billWindow: 20_000,
	originMilliseconds: 30 * day,
	openOrdersPerServer: 64,
	completedOrders: 1000,
};
