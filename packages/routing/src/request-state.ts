import {
	type Outcome, type ServerId, type TokenUsage,
} from '@valehitch/core';
import {type AttemptPurpose} from './request-action.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';

/** Where a request stands. */
export type RequestStage = 'admitting' | 'pinning' | 'claiming' | 'opening' | 'planning' | 'running' | 'waiting' | 'judging' | 'settling' | 'ended';

/** Where an attempt stands; only an attempt that is `sent` can still give pieces. */
export type AttemptStatus = 'choosing' | 'sent' | 'over';

/** One attempt of a request. */
export type AttemptState = {
	readonly number: number;
	readonly purpose: AttemptPurpose;
	readonly target: RequestTarget;
	readonly status: AttemptStatus;
	/** Whether it ran; an attempt that was sent is not known to until the server says so. */
	readonly outcome: Outcome;
	readonly server?: ServerId;
	/** The offset at which it began. */
	readonly resumeFrom: number;
	/** The offset up to which its pieces came without a gap. */
	readonly received: number;
	/** When it was dispatched, in milliseconds on the monotonic clock. */
	readonly dispatchedAt: number;
	/** When the last piece came, or it was dispatched, in milliseconds on the monotonic clock. */
	readonly progressAt: number;
	readonly usage: TokenUsage;
};

/** The state of one request; a plain value, replaced at every step. */
export type RequestState = {
	readonly plan: RequestPlan;
	readonly stage: RequestStage;
	readonly target: RequestTarget;
	/** Whether the answer of the target is judged before the caller sees any of it. */
	readonly judged: boolean;
	readonly claim: 'none' | 'pending' | 'taken' | 'ended';
	readonly bill: 'none' | 'opening' | 'open' | 'settled';
	readonly attempts: readonly AttemptState[];
	/** Servers that get no further attempt of this request. */
	readonly excluded: readonly ServerId[];
	/** The attempt whose pieces make up the answer; undefined before its first piece. */
	readonly leader?: number;
	/** Bytes of the answer that the caller has. */
	readonly delivered: number;
	/** Whether the target gets no new work. */
	readonly permissionLost: boolean;
	/** Whether the one wait for a server was used. */
	readonly cameBack: boolean;
	readonly stopping: boolean;
};
