import {type Outcome, type ServerId, type TokenUsage} from '@valehitch/core';
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
	/** Whether it draws on the budget of its purpose. */
	readonly budgeted: boolean;
	readonly target: RequestTarget;
	readonly status: AttemptStatus;
	/** Whether it ran; `unknown` from the dispatch until the server says so. */
	readonly outcome: Outcome;
	/** Whether nothing has come of it for too long; it is kept, since it may still go on. */
	readonly silent: boolean;
	/** Whether its connection never opened. */
	readonly unsent: boolean;
	/** The server, once one was chosen. */
	readonly server: ServerId | undefined;
	/** The offset at which it began. */
	readonly resumeFrom: number;
	/** The offset up to which its pieces came without a gap. */
	readonly received: number;
	/** When the last piece came, or else it was dispatched, in milliseconds on the monotonic clock. */
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
	/** A claim is `settled` when its outcome was sent, or when it is another request's. */
	readonly claim: 'none' | 'pending' | 'taken' | 'settled';
	readonly bill: 'none' | 'opening' | 'open' | 'settled';
	/** The attempts that were dispatched, and those whose server is being chosen. */
	readonly attempts: readonly AttemptState[];
	/** The number of the next attempt. */
	readonly nextAttempt: number;
	/** How many chosen servers the check right before the dispatch turned down. */
	readonly denials: number;
	/** Servers that get no attempt of this request any more, since they are shutting down or gone. */
	readonly draining: readonly ServerId[];
	/** Servers on which an attempt came to nothing; they may be asked again after a wait. */
	readonly tried: readonly ServerId[];
	/** Whether a kept connection broke under the request, so that its further attempts open connections of their own. */
	readonly freshConnection: boolean;
	/** The attempt whose pieces make up the answer; undefined before its first piece. */
	readonly leader: number | undefined;
	/** Bytes of the answer that the caller has. */
	readonly delivered: number;
	/** Targets that get no new work of this request. */
	readonly lost: readonly RequestTarget[];
	/** Whether the one hedge was asked for. */
	readonly hedged: boolean;
	/** Whether a timer is set after which servers are asked again. */
	readonly comingBack: boolean;
	/** Connections that did not open since servers were last asked again. */
	readonly unreachable: number;
	/** Whether a server said that the request ran and failed, so that it would fail again. */
	readonly reportedFailure: boolean;
	readonly stopping: boolean;
	readonly callerLeft: boolean;
};
