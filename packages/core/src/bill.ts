import {
	type InstanceId, type ModelId, type RequestId, type ServerId, type ServiceId, type VersionId, type WorkspaceId,
} from './ids.js';
import {type Micros, type TokenUsage} from './money.js';

/** One attempt on a bill. */
export type BillLine = {
	readonly server: ServerId;
	readonly model?: ModelId;
	readonly version?: VersionId;
	readonly service?: ServiceId;
	readonly usage: TokenUsage;
	readonly cost: Micros;
	/** Why the attempt was made. */
	readonly purpose: 'first' | 'retry' | 'hedge' | 'escalation' | 'resume';
};

/** Numbers the bills of one run of an instance without gaps, so that the ledger knows each with little memory. */
export type BillOrigin = {
	/** When the instance started, in milliseconds since 1970. */
	readonly startedAt: number;
	/** Counts the bills that this run of the instance opened, from 1; never given twice. */
	readonly sequence: number;
};

/** How a request ended. */
export type BillOutcome = 'answered' | 'failed' | 'cancelled' | 'unknown';

/** The bill of one request; the ledger holds each once, keyed by workspace and request. */
export type Bill = {
	readonly workspace: WorkspaceId;
	readonly request: RequestId;
	/** The instance that served the request. */
	readonly instance: InstanceId;
	/** Given when the bill is opened and the same on every copy; without it the ledger remembers the bill for a short while only. */
	readonly origin?: BillOrigin | undefined;
	readonly lines: readonly BillLine[];
	readonly total: Micros;
	readonly outcome: BillOutcome;
	/** When it was settled, in milliseconds since 1970. */
	readonly settledAt: number;
};
