/** The bounds of what the replicated state keeps; part of the state, so that every replica drops the same. */
export type ControlLimits = {
	/** Change ids that are remembered. */
	readonly changeIds: number;
	/** Milliseconds for which a change id is remembered. */
	readonly changeIdMilliseconds: number;
	/** Claims kept for one workspace. */
	readonly claimsPerWorkspace: number;
	/** Milliseconds for which a settled claim is kept, where the count allows it. */
	readonly claimMilliseconds: number;
	/** Milliseconds for which a settled claim is kept in any case; a full workspace is refused rather than forgotten earlier. */
	readonly claimMinimumMilliseconds: number;
	/** Milliseconds after which a claim that its owner never settled turns to unknown. */
	readonly claimOpenMilliseconds: number;
	/** The largest body of an answer that is kept, in bytes. */
	readonly keptAnswerBytes: number;
	/** Bytes of kept bodies for one workspace; the oldest are dropped first, their digests stay. */
	readonly keptAnswerBytesPerWorkspace: number;
	/** Bills that are kept for reading before they go to the archive. */
	readonly recentBills: number;
	/** Bills without an origin that are remembered, to pass over a second copy. */
	readonly billWindow: number;
	/** Milliseconds after its last bill for which an origin of bills is remembered. */
	readonly originMilliseconds: number;
	/** Open orders for one server. */
	readonly openOrdersPerServer: number;
	/** Completed orders that are kept. */
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
