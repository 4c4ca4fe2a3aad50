import {
	type Bill, type BillOrigin, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';

/** The bill of a request in progress. */
export type OpenBill = {
	readonly workspace: WorkspaceId;
	readonly request: RequestId;
	/** When the bill was opened, as Unix time in milliseconds. */
	readonly openedAt: number;
	/** The identifier of the bill in the ledger. */
	readonly origin?: BillOrigin | undefined;
};

/** Updates the bill copies that the receiver holds for the sender. */
export type HoldBillsMessage = {
	readonly scope: 'entry';
	readonly type: 'hold-bills';
	readonly owner: InstanceId;
	/** Identifies the process of the owner; a restart changes it. */
	readonly start: string;
	readonly opened: readonly OpenBill[];
	readonly settled: readonly Bill[];
	readonly dropped: readonly RequestId[];
	/** Whether the message lists all copies, so that the receiver drops any others. */
	readonly complete: boolean;
};

/** The reply to a {@linkcode HoldBillsMessage}. */
export type HoldBillsReply = {
	/** Whether the copies are held; false if the holder is full or shutting down. */
	readonly accepted: boolean;
	/** The number of copies now held for the owner. */
	readonly count: number;
};

/** Asks an owner that has not sent updates for a while which copies it still needs. */
export type OwnedBillsMessage = {
	readonly scope: 'entry';
	readonly type: 'owned-bills';
	readonly requests: readonly RequestId[];
};

/** The reply to an {@linkcode OwnedBillsMessage}. */
export type OwnedBillsReply = {
	readonly start: string;
	/** The requested ids whose bills the ledger has not acknowledged. */
	readonly needed: readonly RequestId[];
};

/** Asks for the routing decisions of a request. */
export type ExplainMessage = {
	readonly scope: 'entry';
	readonly type: 'explain';
	readonly request: RequestId;
};

/** Tells a daemon that has connections to servers open through the sender that the sender shuts down. */
export type RelayStoppingMessage = {
	readonly scope: 'entry';
	readonly type: 'relay-stopping';
	readonly relay: InstanceId;
};

/** All messages between entry instances. */
export type EntryMessage = HoldBillsMessage | OwnedBillsMessage | ExplainMessage | RelayStoppingMessage;
