import {type Bill} from '@valehitch/core';

/** Asks for a page of the bills that are not archived yet. */
export type LedgerQuestion = {
	/** Bills of this workspace only. */
	readonly workspace?: string | undefined;
	/** The position after which to read; positions count from 1. */
	readonly after: number;
	/** The most bills of a page. */
	readonly limit: number;
	/** Whether the bills are asked for that were refused, all on one page; false by default. */
	readonly isRefused?: boolean | undefined;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** The position of the last bill in the archive; pages up to there are read from the archive. */
	readonly archivedUpTo: number;
	/** What to pass as `after` for the next page; undefined on the last. */
	readonly next?: number;
};

/** What a workspace was billed in all; kept for good. */
export type WorkspaceTotal = {
	readonly bills: number;
	/** Millionths of the unit of account. */
	readonly micros: number;
};

/** The oldest bills, for the host to write to its archive. */
export type ArchivableBills = {
	/** The position of the first of them; positions count from 1. */
	readonly firstPosition: number;
	readonly bills: readonly Bill[];
};
