import {type Bill} from '@valehitch/core';

/** A query for a page of the bills that are not archived, or for the refused bills. */
export type LedgerQuery = {
	/** Limits the result to one workspace. */
	readonly workspace?: string | undefined;
	/** The position after which the page starts. Positions start at 1. */
	readonly after: number;
	/** The maximum number of bills on a page. */
	readonly limit: number;
	/** Whether to return the refused bills instead, all on one page. Default false. */
	readonly isRefused?: boolean | undefined;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** The position of the last archived bill. Bills up to this position are read from the archive. */
	readonly archivedUpTo: number;
	/** The value of `after` for the next page; absent on the last page. */
	readonly next?: number;
};

/** The total billed to a workspace; never deleted. */
export type WorkspaceTotal = {
	readonly bills: number;
	/** Millionths of the unit of account. */
	readonly micros: number;
};

/** The oldest bills in memory, for the host to write to its archive. */
export type ArchivableBills = {
	/** The position of the first of the bills. Positions start at 1. */
	readonly firstPosition: number;
	readonly bills: readonly Bill[];
};
