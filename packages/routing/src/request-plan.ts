import {type ModelId, type ServiceId, type VersionId} from '@valehitch/core';

/** The target of a request: a version of a model, or a service. */
export type RequestTarget
	= | {readonly type: 'version'; readonly model: ModelId; readonly version: VersionId}
		| {readonly type: 'service'; readonly service: ServiceId};

/** The delays after which an attempt counts as slow, derived from the latency history of the version. */
export type HedgeDelays = {
	/** The wait for the first piece after which a hedge is sent, in milliseconds from the dispatch. */
	readonly prefillMilliseconds: number;
	/** The gap between two pieces after which a hedge is sent, in milliseconds. */
	readonly decodeMilliseconds: number;
};

/** The properties of a request that are fixed before it starts. */
export type RequestPlan = {
	/** The first target; a cascade may escalate to others. */
	readonly target: RequestTarget;
	/** How the request is bound to a session: not at all, by a session token, or by a session name from the caller. */
	readonly session: 'none' | 'token' | 'name';
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Whether the idempotency key must be claimed before the first dispatch; true for requests that have a key and are not repeatable. */
	readonly requiresClaim: boolean;
	/** Whether pieces are forwarded to the caller as they arrive; otherwise they are buffered until the answer is complete. */
	readonly streamed: boolean;
	/** Whether the answer of the first target is judged before any of it is forwarded to the caller. */
	readonly judged: boolean;
	/** When the last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The estimated number of prompt tokens, billed for an attempt that ran without reporting its usage. */
	readonly promptTokens: number;
	/** When a hedge is sent; undefined for never. For an answer that is not streamed, `prefillMilliseconds` applies to the whole answer. */
	readonly hedge?: HedgeDelays;
	/** The maximum number of attempts per target whose connection opened, hedges and resumes included, and of connections that fail to open between two server retries; 4 by default. */
	readonly maximumAttempts?: number;
	/** The longest wait, in milliseconds, before servers are tried again when none is left and the request may have run; 0, the default, ends the request immediately. */
	readonly serverRetryMilliseconds?: number;
	/** Whether an attempt continues after the caller has disconnected, so that the claim can store its answer; false by default. */
	readonly finishAfterCallerLeaves?: boolean;
};
