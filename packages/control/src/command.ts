import {
	type Bill, type ChangeId, type Configuration, type InstanceId, type ModelId, type RequestId, type Revision, type ServerId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type ClaimSettlement} from './claim.js';
import {type ControlLimits} from './control-limits.js';
import {type IdempotencyKey, type OrderId} from './ids.js';
import {type EngineOrder, type FencingNumber, type OrderOutcome} from './order.js';

/** Replaces the operators' document if the revision is still the wanted one. */
export type ApplyConfigurationCommand = {
	readonly type: 'apply-configuration';
	readonly changeId: ChangeId;
	/** The digest of the document, so that a resend can be told from another change. */
	readonly digest: string;
	readonly expectedRevision: Revision;
	readonly document: Configuration;
	/** Who made the change: the name of the operator's key. */
	readonly operator?: string | undefined;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** One run of an instance, from its start to its end. */
export type InstanceRun = {
	readonly instance: InstanceId;
	/** When it began, by the clock of the instance, in milliseconds since 1970; it tells runs apart. */
	readonly startedAt: number;
};

/** Puts settled bills into the ledger; one that is there already is passed over. */
export type RecordBillsCommand = {
	readonly type: 'record-bills';
	readonly bills: readonly Bill[];
	/** The run that sends them; the ledger remembers it from here on, also where it has no bills. */
	readonly running?: InstanceRun | undefined;
};

/** Takes the claim of an idempotency key for one request; the first request wins. Safe to send again. */
export type TakeClaimCommand = {
	readonly type: 'take-claim';
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	/** Digest of method, path and body, to tell a resend from another request under the same key. */
	readonly requestDigest: string;
	readonly request: RequestId;
	/** The instance that serves the request. */
	readonly instance: InstanceId;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Settles a claim; only the owner's word counts. Safe to send again. */
export type SettleClaimCommand = {
	readonly type: 'settle-claim';
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	readonly request: RequestId;
	readonly settlement: ClaimSettlement;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Says that an instance is gone: its open claims turn to unknown, since they may have run. */
export type InstanceLostCommand = {
	readonly type: 'instance-lost';
	readonly instance: InstanceId;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Raises a roll-out by one stage if it is still at the given one; after the last stage it is completed and the version is settled. */
export type AdvanceRolloutCommand = {
	readonly type: 'advance-rollout';
	readonly model: ModelId;
	readonly version: VersionId;
	readonly fromStage: number;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Stops a version for all: it gets no new work until an operator withdraws it and lists it anew. */
export type StopVersionCommand = {
	readonly type: 'stop-version';
	readonly model: ModelId;
	readonly version: VersionId;
	readonly reason: string;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Issues an order to an engine; its place in the log is its fencing number. Safe to send again under the same id. */
export type IssueOrderCommand = {
	readonly type: 'issue-order';
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Says how an order ended. Safe to send again. */
export type CompleteOrderCommand = {
	readonly type: 'complete-order';
	readonly orderId: OrderId;
	readonly fencing: FencingNumber;
	readonly outcome: OrderOutcome;
	/** What the engine said. */
	readonly detail?: string | undefined;
	/** Milliseconds since 1970. */
	readonly at: number;
};

/** Reads the leader's clock into the log, and drops what is older than its bound; sent every few seconds. */
export type ExpireCommand = {
	readonly type: 'expire';
	/** What the leader's clock says, in milliseconds since 1970. */
	readonly at: number;
};

/** Replaces the bounds of what the state keeps; a leader sends it when its settings differ. */
export type SetLimitsCommand = {
	readonly type: 'set-limits';
	readonly limits: ControlLimits;
};

/** The closed list of commands on the replicated state. */
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
