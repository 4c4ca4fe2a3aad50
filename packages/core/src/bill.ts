import {
	type InstanceId, type ModelId, type RequestId, type ServerId, type ServiceId, type VersionId, type WorkspaceId,
} from './ids.js';
import {type Micros, type TokenUsage} from './money.js';

/** One attempt of a request, as itemized on its bill. */
export type BillLine = {
	readonly server: ServerId;
	readonly model?: ModelId;
	readonly version?: VersionId;
	readonly service?: ServiceId;
	readonly usage: TokenUsage;
	readonly cost: Micros;
	/** The reason for the attempt. */
	readonly purpose: 'first' | 'retry' | 'hedge' | 'escalation' | 'resume';
};

/** The origin of a bill. Sequence numbers have no gaps within one run of an instance, so the ledger can detect duplicates with little memory. */
export type BillOrigin = {
	/** When the instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** The number of the bill among those opened by this run of the instance, from 1. Never reused. */
	readonly sequence: number;
};

/** The outcome of a billed request. */
export type BillOutcome = 'answered' | 'failed' | 'cancelled' | 'unknown';

/** The bill of one request. The ledger stores each bill once, keyed by workspace and request. */
export type Bill = {
	readonly workspace: WorkspaceId;
	readonly request: RequestId;
	/** The instance that served the request. */
	readonly instance: InstanceId;
	/** Assigned when the bill is opened and identical on every copy. Without it, the ledger detects duplicates of the bill for a short time only. */
	readonly origin?: BillOrigin | undefined;
	readonly lines: readonly BillLine[];
	readonly total: Micros;
	readonly outcome: BillOutcome;
	/** When the bill was settled, as Unix time in milliseconds. */
	readonly settledAt: number;
};
