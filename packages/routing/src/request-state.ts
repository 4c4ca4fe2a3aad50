import {type Outcome, type ServerId, type TokenUsage} from '@valehitch/core';
import {type AttemptPurpose} from './request-action.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';

/** The stage of a request. */
export type RequestStage = 'admitting' | 'pinning' | 'claiming' | 'opening' | 'planning' | 'running' | 'waiting' | 'judging' | 'settling' | 'ended';

/** The status of an attempt; only an attempt that is `sent` can receive pieces of an answer. */
export type AttemptStatus = 'choosing' | 'sent' | 'ended';

/** One attempt of a request. */
export type AttemptState = {
	readonly number: number;
	readonly purpose: AttemptPurpose;
	/** Whether it is charged to the retry or hedge budget. */
	readonly budgeted: boolean;
	readonly target: RequestTarget;
	readonly status: AttemptStatus;
	/** Whether it ran; `unknown` from the dispatch until the server responds. */
	readonly outcome: Outcome;
	/** Whether it has stalled; it stays open, since its server may still resume. */
	readonly stalled: boolean;
	/** Whether its connection never opened. */
	readonly neverSent: boolean;
	/** The server; undefined until one is chosen. */
	readonly server: ServerId | undefined;
	/** The offset in the answer at which it starts. */
	readonly resumeFrom: number;
	/** The offset up to which its pieces have arrived without a gap. */
	readonly received: number;
	/** When the last piece arrived, or when it was dispatched if none has, in milliseconds on the monotonic clock. */
	readonly lastProgressAt: number;
	readonly usage: TokenUsage;
};

/** The immutable state of one request; each event yields a new one. */
export type RequestState = {
	readonly plan: RequestPlan;
	readonly stage: RequestStage;
	readonly target: RequestTarget;
	/** Whether the answer of the target is judged before any of it is forwarded to the caller. */
	readonly judged: boolean;
	/** The claim on the idempotency key; `settled` once its outcome was sent, or if another request holds it. */
	readonly claim: 'none' | 'pending' | 'taken' | 'settled';
	readonly bill: 'none' | 'opening' | 'open' | 'settled';
	/** The attempts that were dispatched, and those that wait for a server. */
	readonly attempts: readonly AttemptState[];
	/** The number of the next attempt. */
	readonly nextAttemptNumber: number;
	/** The number of dispatches that were denied because the chosen server was shutting down or gone. */
	readonly dispatchDenials: number;
	/** Servers that are shutting down or gone, and get no further attempts of this request. */
	readonly excludedServers: readonly ServerId[];
	/** Servers on which an attempt failed or stalled; they become eligible again after a wait. */
	readonly triedServers: readonly ServerId[];
	/** Whether further attempts open new connections, since a reused connection broke during the request. */
	readonly freshConnection: boolean;
	/** The number of the attempt that provides the answer; undefined until its first piece is forwarded or it completes. */
	readonly answeringAttempt: number | undefined;
	/** The bytes of the answer that were forwarded to the caller. */
	readonly deliveredBytes: number;
	/** Targets that get no new attempts of this request. */
	readonly disallowedTargets: readonly RequestTarget[];
	/** Whether the hedge was started; a request has at most one. */
	readonly hedged: boolean;
	/** Whether the `come-back` timer is set, which triggers another server selection. */
	readonly serverRetryScheduled: boolean;
	/** The number of connections that failed to open since the last server retry. */
	readonly connectionFailures: number;
	/** Whether a server reported that the request ran and failed, so that it would fail again. */
	readonly reportedFailure: boolean;
	readonly stopping: boolean;
	/** When the instance answers what is left, in milliseconds on the monotonic clock; undefined unless it stops. */
	readonly answersDueAt: number | undefined;
	readonly callerLeft: boolean;
};
