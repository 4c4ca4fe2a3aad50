import {type ModelId, type ServiceId, type VersionId} from '@valehitch/core';

/** What a request runs on: one version of a model, or a plain service. */
export type RequestTarget
	= | {readonly type: 'version'; readonly model: ModelId; readonly version: VersionId}
		| {readonly type: 'service'; readonly service: ServiceId};

/** When an attempt counts as slow; both come from the history of the version. */
export type HedgeDelays = {
	/** Milliseconds from dispatch to the first piece after which a second attempt is made. */
	readonly prefillMilliseconds: number;
	/** Milliseconds between two pieces after which a second attempt is made. */
	readonly decodeMilliseconds: number;
};

/** What is settled about a request before its life begins. */
export type RequestPlan = {
	/** The first target; a cascade may go on to others. */
	readonly target: RequestTarget;
	/** Whether the version belongs to a session: none, one by token, or one by a name that the caller brought. */
	readonly session: 'none' | 'token' | 'name';
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Whether a claim is taken before the first dispatch: keyed and not repeatable. */
	readonly claimed: boolean;
	/** Whether pieces go to the caller as they come; otherwise they are held until the answer is whole. */
	readonly streamed: boolean;
	/** Whether the answer of the first target is judged before the caller sees any of it. */
	readonly judged: boolean;
	/** When the last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The estimate of the prompt's tokens, billed for an attempt that ran and gave no usage. */
	readonly promptTokens: number;
	/** When a second attempt is made; undefined for never. For an answer that is not streamed, `prefillMilliseconds` is about the whole answer. */
	readonly hedge?: HedgeDelays;
	/** The most attempts on one target whose connection opened, hedges and resumes included, and the most connections in a row that do not open; 4 by default. */
	readonly maximumAttempts?: number;
	/** The most milliseconds after which servers are asked again where none is left and the request may have run; 0, the default, gives up at once. */
	readonly comeBackMilliseconds?: number;
	/** Whether an attempt goes on when the caller leaves, so that the claim can keep its answer; false by default. */
	readonly finishWithoutCaller?: boolean;
};
