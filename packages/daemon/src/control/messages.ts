import {type Command, type OrderRecord} from '@valehitch/control';
import {type ReplicaId, type ReplicaSet, type SnapshotRequest} from '@valehitch/consensus';
import {type Bill, type InstanceId} from '@valehitch/core';
import {type EncodedReplicaMessage} from '@valehitch/replication';
import {type ResultReply} from '../result-reply.js';

/** Requests that the control role commit a command. */
export type ProposeMessage = {
	readonly scope: 'control';
	readonly type: 'propose';
	readonly command: Command;
	/** Whether a control instance forwarded the message; it is forwarded at most once. */
	readonly isForwarded?: boolean;
};

/** The reply to a `LeaderRequest`: the result and, if known, the leader. */
export type ControlReply<Value> = {
	readonly result: ResultReply<Value>;
	readonly leader?: InstanceId | undefined;
};

/** Requests a page of the ledger. */
export type LedgerMessage = {
	readonly scope: 'control';
	readonly type: 'ledger';
	/** Return only the bills of this workspace. */
	readonly workspace?: string | undefined;
	/** The position after which to read. */
	readonly after: number;
	/** Whether to return the bills that the ledger rejected instead of those that it recorded. */
	readonly isRefused?: boolean | undefined;
	readonly isForwarded?: boolean;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** The value of `after` that requests the next page; undefined on the last page. */
	readonly next?: number;
};

/** Requests the orders to engines. */
export type OrdersMessage = {
	readonly scope: 'control';
	readonly type: 'orders';
	readonly isForwarded?: boolean;
};

/** The orders to engines. */
export type OrderList = {
	/** The open orders, in the sequence in which they were issued. */
	readonly open: readonly OrderRecord[];
	/** The recently completed orders, oldest first. */
	readonly completed: readonly OrderRecord[];
};

/** A message from one replica to another. A message to a former identity of an instance is dropped. */
export type ReplicaEnvelope = {
	readonly scope: 'control';
	readonly type: 'replica';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: EncodedReplicaMessage;
};

/** A chunk of a snapshot, since a whole snapshot can exceed the maximum frame size. */
export type SnapshotChunkMessage = {
	readonly scope: 'control';
	readonly type: 'snapshot-piece';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	/** The snapshot request without the state. */
	readonly message: SnapshotRequest;
	/** The offset of the chunk in the state, in bytes. */
	readonly offset: number;
	/** The size of the whole state, in bytes. */
	readonly totalBytes: number;
	readonly data: Uint8Array;
};

/** The acknowledgement of a snapshot chunk. */
export type SnapshotChunkReply = {
	readonly isTaken: boolean;
};

/** The join request that a replica without a vote sends until it is a voter. */
export type JoinMessage = {
	readonly scope: 'control';
	readonly type: 'join';
	readonly replica: ReplicaId;
	/** The position up to which it has all bills, in its archive or in its state. */
	readonly billsHeldUpTo: number;
};

/** The reply to a join request: the status of the replica that received it. */
export type JoinReply = {
	readonly replica: ReplicaId;
	/** Whether it has never belonged to a group. */
	readonly isEmpty: boolean;
	/** The initial replica set of the group, while the replica has no later snapshot. */
	readonly initial?: ReplicaSet | undefined;
};

/** Requests a chunk of the bills of a replica. */
export type BillChunkMessage = {
	readonly scope: 'control';
	readonly type: 'archived-bills';
	/** The position of the first bill to return; positions start at 1. */
	readonly first: number;
};

/** Asks a control instance for the current leader. */
export type LeaderMessage = {
	readonly scope: 'control';
	readonly type: 'leader';
};

/** The leader, if known to the queried instance. */
export type LeaderReply = {
	readonly leader?: InstanceId | undefined;
};

/** The requests that only the leader can handle. */
export type LeaderRequest = ProposeMessage | LedgerMessage | OrdersMessage;

/** Any message to the control role. */
export type ControlMessage = LeaderRequest | ReplicaEnvelope | JoinMessage | LeaderMessage | BillChunkMessage | SnapshotChunkMessage;
