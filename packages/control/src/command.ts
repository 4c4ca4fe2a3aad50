import {
	type Bill, type ChangeId, type Configuration, type InstanceId, type ModelId, type RequestId, type Revision, type ServerId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type ClaimSettlement} from './claim.js';
import {type ControlLimits} from './control-limits.js';
import {type IdempotencyKey, type OrderId} from './ids.js';
import {type EngineOrder, type FencingNumber, type OrderOutcome} from './order.js';

/** Replaces the operators' document if the revision is still the expected one. */
export type ApplyConfigurationCommand = {
	readonly type: 'apply-configuration';
	readonly changeId: ChangeId;
	/** The digest of the document, to distinguish a resend from a different change with the same id. */
	readonly digest: string;
	readonly expectedRevision: Revision;
	readonly document: Configuration;
	/** The name of the API key of the operator who made the change. */
	readonly operator?: string | undefined;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** One run of an instance, from start to exit. */
export type InstanceRun = {
	readonly instance: InstanceId;
	/** The start time by the clock of the instance, as Unix time in milliseconds. Distinguishes the runs of an instance. */
	readonly startedAt: number;
};

/** Adds settled bills to the ledger and ignores duplicates. */
export type RecordBillsCommand = {
	readonly type: 'record-bills';
	readonly bills: readonly Bill[];
	/** The run that sends the bills. Marks the run as active, even if `bills` is empty. */
	readonly running?: InstanceRun | undefined;
};

/** Claims an idempotency key for a request. The first request wins. Idempotent. */
export type TakeClaimCommand = {
	readonly type: 'take-claim';
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	/** The digest of method, path and body, to distinguish a resend from a different request with the same key. */
	readonly requestDigest: string;
	readonly request: RequestId;
	/** The instance that handles the request. */
	readonly instance: InstanceId;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Settles a claim. Has no effect unless sent for the request that owns the claim. Idempotent. */
export type SettleClaimCommand = {
	readonly type: 'settle-claim';
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	readonly request: RequestId;
	readonly settlement: ClaimSettlement;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Reports the loss of an instance. Its open claims are settled as unknown because their requests may have run. */
export type InstanceLostCommand = {
	readonly type: 'instance-lost';
	readonly instance: InstanceId;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Advances a rollout by one stage if it is still at the given stage. After the last stage the rollout is completed and the version settled. */
export type AdvanceRolloutCommand = {
	readonly type: 'advance-rollout';
	readonly model: ModelId;
	readonly version: VersionId;
	readonly fromStage: number;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Stops a version on all instances. It gets no new requests until an operator withdraws it and lists it again. */
export type StopVersionCommand = {
	readonly type: 'stop-version';
	readonly model: ModelId;
	readonly version: VersionId;
	readonly reason: string;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Issues an order to an engine. The position in the log is the fencing number of the order. Idempotent for the same order id. */
export type IssueOrderCommand = {
	readonly type: 'issue-order';
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Records the outcome of an order. Idempotent. */
export type CompleteOrderCommand = {
	readonly type: 'complete-order';
	readonly orderId: OrderId;
	readonly fencing: FencingNumber;
	readonly outcome: OrderOutcome;
	/** The engine's message. */
	readonly detail?: string | undefined;
	/** Unix time in milliseconds. */
	readonly at: number;
};

/** Records a reading of the leader's clock and deletes expired records. Sent by the leader at every clock reading interval. */
export type ExpireCommand = {
	readonly type: 'expire';
	/** The reading of the leader's clock, as Unix time in milliseconds. */
	readonly at: number;
};

/** Replaces the limits of the replicated state. Sent by a leader whose settings differ from them. */
export type SetLimitsCommand = {
	readonly type: 'set-limits';
	readonly limits: ControlLimits;
};

/** A command on the replicated state. */
export type Command
	= | ApplyConfigurationCommand
		| RecordBillsCommand
		| TakeClaimCommand
		| SettleClaimCommand
		| InstanceLostCommand
		| AdvanceRolloutCommand
		| StopVersionCommand
		| IssueOrderCommand
		| CompleteOrderCommand
		| ExpireCommand
		| SetLimitsCommand;
