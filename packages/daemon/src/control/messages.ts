import {type Command, type OrderRecord} from '@valehitch/control';
import {type ReplicaId, type ReplicaSet, type SnapshotRequest} from '@valehitch/consensus';
import {type Bill, type InstanceId} from '@valehitch/core';
import {type ReplicaWire} from '@valehitch/replication';
import {type ResultReply} from '../result-reply.js';

/** Asks the control role to carry out a command. */
export type ProposeMessage = {
	readonly scope: 'control';
	readonly type: 'propose';
	readonly command: Command;
	/** Whether a control instance passed it on; it is passed on only once. */
	readonly isForwarded?: boolean;
};

/** What every question to the control role gets: the result, and the leader where one is known. */
export type ControlReply<Value> = {
	readonly result: ResultReply<Value>;
	readonly leader?: InstanceId | undefined;
};

/** Asks the control role for a page of the ledger. */
export type LedgerMessage = {
	readonly scope: 'control';
	readonly type: 'ledger';
	/** Bills of this workspace only. */
	readonly workspace?: string | undefined;
	/** The position after which to read. */
	readonly after: number;
	/** Whether the bills are asked for that the ledger refused, in place of those that it has. */
	readonly isRefused?: boolean | undefined;
	readonly isForwarded?: boolean;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** What to pass as `after` for the next page; undefined on the last. */
	readonly next?: number;
};

/** Asks the control role for the orders to engines. */
export type OrdersMessage = {
	readonly scope: 'control';
	readonly type: 'orders';
	readonly isForwarded?: boolean;
};

/** The orders to engines. */
export type OrderList = {
	/** In the order in which they were issued. */
	readonly open: readonly OrderRecord[];
	/** Those of late, the oldest first. */
	readonly completed: readonly OrderRecord[];
};

/** A message between two replicas; one to a former identity of an instance is dropped. */
export type ReplicaEnvelope = {
	readonly scope: 'control';
	readonly type: 'replica';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: ReplicaWire;
};

/** A piece of a snapshot, which may be larger than a frame. */
export type SnapshotPieceMessage = {
	readonly scope: 'control';
	readonly type: 'snapshot-piece';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	/** The message without the state. */
	readonly message: SnapshotRequest;
	/** Where the piece begins, in bytes. */
	readonly offset: number;
	/** The bytes of the whole state. */
	readonly totalBytes: number;
	readonly data: Uint8Array;
};

/** Answers a piece of a snapshot. */
export type SnapshotPieceReply = {
	readonly isTaken: boolean;
};

/** What a replica without a vote says of itself while it waits for a group. */
export type JoinMessage = {
	readonly scope: 'control';
	readonly type: 'join';
	readonly replica: ReplicaId;
	/** The position up to which it has every bill, in its archive or in its state. */
	readonly billsHeldUpTo: number;
};

/** What the asked instance says of itself. */
export type JoinReply = {
	readonly replica: ReplicaId;
	/** Whether it never belonged to a group. */
	readonly isEmpty: boolean;
	/** The replicas that the group began with, while its log holds nothing else. */
	readonly initial?: ReplicaSet | undefined;
};

/** Asks a replica for a piece of its bills that begins at a position. */
export type ArchivedBillsMessage = {
	readonly scope: 'control';
	readonly type: 'archived-bills';
	/** Positions count from 1. */
	readonly first: number;
};

/** Asks a control instance which instance leads. */
export type LeaderMessage = {
	readonly scope: 'control';
	readonly type: 'leader';
};

/** Which instance leads, as far as the asked one knows. */
export type LeaderReply = {
	readonly leader?: InstanceId | undefined;
};

/** The questions that only the leader answers. */
export type LeaderQuestion = ProposeMessage | LedgerMessage | OrdersMessage;

/** The closed list of messages to the control role. */
export type ControlMessage = LeaderQuestion | ReplicaEnvelope | JoinMessage | LeaderMessage | ArchivedBillsMessage | SnapshotPieceMessage;
