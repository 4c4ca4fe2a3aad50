import {
	type Bill, type BillOrigin, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';

/** A bill whose request is in progress. */
export type OpenBill = {
	readonly workspace: WorkspaceId;
	readonly request: RequestId;
	/** When it was opened, in milliseconds since 1970. */
	readonly openedAt: number;
	/** The number that the ledger knows the bill by. */
	readonly origin?: BillOrigin | undefined;
};

/** Changes the copies that the receiver holds for the sender. */
export type HoldBillsMessage = {
	readonly scope: 'entry';
	readonly type: 'hold-bills';
	readonly owner: InstanceId;
	/** Tells one start of the owner from another. */
	readonly start: string;
	readonly opened: readonly OpenBill[];
	readonly settled: readonly Bill[];
	readonly dropped: readonly RequestId[];
	/** Whether copies that are not listed go. */
	readonly complete: boolean;
};

/** What the owner of copies gets. */
export type HoldBillsReply = {
	/** Whether the copies are held; false where the holder is full or stopping. */
	readonly accepted: boolean;
	/** How many copies are held for the owner now. */
	readonly count: number;
};

/** Asks the owner of copies, after a silence, which bills it still needs held. */
export type OwnedBillsMessage = {
	readonly scope: 'entry';
	readonly type: 'owned-bills';
	readonly requests: readonly RequestId[];
};

/** What the holder of copies gets. */
export type OwnedBillsReply = {
	readonly start: string;
	/** Those of the asked requests whose bills the ledger has not acknowledged. */
	readonly needed: readonly RequestId[];
};

/** Asks for the decisions of a request. */
export type ExplainMessage = {
	readonly scope: 'entry';
	readonly type: 'explain';
	readonly request: RequestId;
};

/** The closed list of messages between entry instances. */
export type EntryMessage = HoldBillsMessage | OwnedBillsMessage | ExplainMessage;
