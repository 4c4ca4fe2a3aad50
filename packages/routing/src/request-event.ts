import {type Failure, type ServerId, type TokenUsage} from '@valehitch/core';
import {type RequestTarget} from './request-plan.js';

/** The result of a claim on an idempotency key. */
export type ClaimResult = 'taken' | 'in-progress' | 'done' | 'unknown' | 'key-reused' | 'no-quorum';

/** The timers of a request. */
export type RequestTimer = 'hedge' | 'deadline' | 'come-back';

/** Why the check right before a dispatch denied it. */
export type DispatchDenialReason = 'version-withdrawn' | 'version-stopped' | 'not-allowed' | 'server-draining' | 'server-gone';

/** Why no server was chosen: none is eligible, or the retry or hedge budget is exhausted. */
export type NoServerReason = 'none' | 'budget';

/** The events that precede the choice of a server. */
export type PreparationEvent
	= | {readonly type: 'admitted'}
		| {readonly type: 'admission-refused'; readonly failure: Failure}
		/** The session name was claimed; the target is the one that the first writer pinned. */
		| {readonly type: 'session-pinned'; readonly target: RequestTarget}
		| {readonly type: 'session-refused'; readonly failure: Failure}
		| {readonly type: 'claim-answered'; readonly answer: ClaimResult; readonly retryAfterMilliseconds?: number}
		/** A second instance has stored the opened bill. */
		| {readonly type: 'bill-opened'}
		| {readonly type: 'bill-not-possible'; readonly failure: Failure}
		/** Another version was chosen, since the first was withdrawn before anything ran. */
		| {readonly type: 'version-chosen'; readonly target: RequestTarget; readonly judged: boolean}
		| {readonly type: 'no-version'; readonly failure: Failure};

/** The events of an attempt; those of a cancelled attempt are ignored. */
export type AttemptEvent
	= | {readonly type: 'server-chosen'; readonly attempt: number; readonly server: ServerId}
		| {readonly type: 'no-server'; readonly attempt: number; readonly reason: NoServerReason; readonly retryAfterMilliseconds: number}
		/** The check right before the dispatch denied it; nothing was sent. */
		| {readonly type: 'dispatch-denied'; readonly attempt: number; readonly reason: DispatchDenialReason}
		/** The connection never opened, so no byte of the request was sent. */
		| {readonly type: 'attempt-never-sent'; readonly attempt: number}
		/** The server reported that it did not run the request. */
		| {readonly type: 'attempt-not-run'; readonly attempt: number; readonly retryAfterMilliseconds?: number}
		| {readonly type: 'attempt-head'; readonly attempt: number}
		/** Bytes of the answer; the offset counts from the start of the whole answer, including the part before a resume. */
		| {readonly type: 'attempt-piece'; readonly attempt: number; readonly offset: number; readonly length: number; readonly tokens: number}
		/** The server reported that the answer is complete; the offset is the length of the whole answer. */
		| {readonly type: 'attempt-complete'; readonly attempt: number; readonly offset: number; readonly usage: TokenUsage}
		/** The server reported that the request ran and failed. */
		| {readonly type: 'attempt-failed'; readonly attempt: number; readonly message: string; readonly usage?: TokenUsage}
		/** The connection broke after the request was sent; it may have run. */
		| {readonly type: 'attempt-broken'; readonly attempt: number; readonly message: string; readonly usage?: TokenUsage}
		/** A reused connection broke before the answer began; the request may have run, and the server is not at fault. */
		| {readonly type: 'attempt-connection-lost'; readonly attempt: number; readonly message: string}
		/** Its answer is overdue, so that another server is asked; the attempt has not ended and may still continue. */
		| {readonly type: 'attempt-silent'; readonly attempt: number}
		| {readonly type: 'attempt-judged'; readonly attempt: number; readonly verdict: 'accepted'}
		/** The answer was rejected; the next target of the cascade serves the request. */
		| {readonly type: 'attempt-judged'; readonly attempt: number; readonly verdict: 'escalated'; readonly target: RequestTarget; readonly judged: boolean};

/** The events from outside the attempts of a request. */
export type ExternalEvent
	= | {readonly type: 'timer'; readonly timer: RequestTimer}
		/** The target gets no new attempts from now on; attempts in progress continue. */
		| {readonly type: 'permission-lost'; readonly target: RequestTarget}
		| {readonly type: 'server-draining'; readonly server: ServerId}
		| {readonly type: 'caller-left'}
		/** A second instance has stored the settled bill. */
		| {readonly type: 'bill-settled'}
		/** A planned shutdown of this instance has started; what has no answer when the answers are due, in milliseconds on the monotonic clock, is given one then. */
		| {readonly type: 'instance-stopping'; readonly answersDueAt: number}
		/** The shutdown is about to close the connections. */
		| {readonly type: 'answers-due'};

/** Every event that a request can receive. */
export type RequestEvent = PreparationEvent | AttemptEvent | ExternalEvent;
