/** The limits of the replicated state. They are part of the state, so that all replicas delete the same records. */
export type ControlLimits = {
	/** The number of change ids kept to detect resends. Default 4096, range 1 to 1000000. */
	readonly changeIds: number;
	/** How long a change id is kept, in milliseconds. Default 7 days, range 1000 to 31622400000 (366 days). */
	readonly changeIdMilliseconds: number;
	/** The number of claims kept per workspace, 781 bytes each. Default 2500, range 1 to 1000000. */
	readonly claimsPerWorkspace: number;
	/** How long a settled claim is kept if `claimsPerWorkspace` allows it, in milliseconds. Default 1 day, range 1000 to 31622400000. */
	readonly claimMilliseconds: number;
	/** How long a settled claim is always kept, in milliseconds: new claims of a full workspace are refused rather than claims deleted earlier. Default 10 minutes, range 1000 to 31622400000, at most `claimMilliseconds`. */
	readonly claimMinimumMilliseconds: number;
	/** The time after which an open claim is settled as unknown, in milliseconds. Default 65 minutes, range 1000 to 31622400000. */
	readonly claimOpenMilliseconds: number;
	/** The maximum size of a stored response body, in bytes. Default 16384, range 0 to 1048576. */
	readonly keptAnswerBytes: number;
	/** The maximum total size of the stored response bodies of a workspace, in bytes. The oldest bodies are dropped first; their digests are kept. Default 524288, range 0 to 1073741824. */
	readonly keptAnswerBytesPerWorkspace: number;
	/** The number of bills kept in memory for reading before they are archived, 671 bytes each. Default 5000, range 1 to 1000000. */
	readonly recentBills: number;
	/** The number of bills without an origin that are tracked to detect duplicates. Default 20000, range 1 to 10000000. */
	readonly billWindow: number;
	/** How long an origin of bills is kept after it was last active, in milliseconds. Default 30 days, range 60000 to 31622400000. */
	readonly originMilliseconds: number;
	/** The maximum number of open orders per server. Default 64, range 1 to 10000. */
	readonly openOrdersPerServer: number;
	/** The number of completed orders kept. Default 1000, range 1 to 1000000. */
	readonly completedOrders: number;
};

const minute = 60_000;
const day = 1440 * minute;

/** The limits in effect until a `set-limits` command replaces them. */
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
