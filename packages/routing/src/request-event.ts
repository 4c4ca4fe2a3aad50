import {type Failure, type ServerId, type TokenUsage} from '@valehitch/core';
import {type RequestTarget} from './request-plan.js';

/** What became of a claim on an idempotency key. */
export type ClaimAnswer = 'taken' | 'in-progress' | 'done' | 'unknown' | 'key-reused' | 'no-quorum';

/** The timers of a request. */
export type RequestTimer = 'hedge' | 'deadline' | 'come-back';

/** Why an attempt may not be dispatched, found by the check right before it. */
export type DispatchDenial = 'version-withdrawn' | 'version-stopped' | 'not-allowed' | 'server-draining' | 'server-gone';

/** Why no server was chosen: none is eligible, or the budget of retries or hedges is used up. */
export type NoServerReason = 'none' | 'budget';

/** What happens before a server is chosen. */
export type PreparationEvent
	= | {readonly type: 'admitted'}
		| {readonly type: 'admission-refused'; readonly failure: Failure}
		/** The session's name was claimed; the target is that of its first writer. */
		| {readonly type: 'session-pinned'; readonly target: RequestTarget}
		| {readonly type: 'session-refused'; readonly failure: Failure}
		| {readonly type: 'claim-answered'; readonly answer: ClaimAnswer; readonly retryAfterMilliseconds?: number}
		/** A second instance holds the opened bill. */
		| {readonly type: 'bill-opened'}
		| {readonly type: 'bill-not-possible'; readonly failure: Failure}
		/** Another version was chosen, after the first was withdrawn before any dispatch. */
		| {readonly type: 'version-chosen'; readonly target: RequestTarget; readonly judged: boolean}
		| {readonly type: 'no-version'; readonly failure: Failure};

/** What becomes of one attempt; an event of a cancelled attempt changes nothing. */
export type AttemptEvent
	= | {readonly type: 'server-chosen'; readonly attempt: number; readonly server: ServerId}
		| {readonly type: 'no-server'; readonly attempt: number; readonly reason: NoServerReason; readonly retryAfterMilliseconds: number}
		/** The check right before the dispatch said no; nothing was sent. */
		| {readonly type: 'dispatch-denied'; readonly attempt: number; readonly reason: DispatchDenial}
		/** No byte of the request left: the connection was never opened. */
		| {readonly type: 'attempt-never-sent'; readonly attempt: number}
		/** The server's own word that it did not run the request. */
		| {readonly type: 'attempt-not-run'; readonly attempt: number; readonly retryAfterMilliseconds?: number}
		| {readonly type: 'attempt-head'; readonly attempt: number}
		/** Bytes of the answer; the offset counts from the start of the whole answer, resumed part included. */
		| {readonly type: 'attempt-piece'; readonly attempt: number; readonly offset: number; readonly length: number; readonly tokens: number}
		/** The server said that the answer is whole; the offset is the length of the whole answer. */
		| {readonly type: 'attempt-complete'; readonly attempt: number; readonly offset: number; readonly usage: TokenUsage}
		/** The server's own word that the request ran and failed. */
		| {readonly type: 'attempt-failed'; readonly attempt: number; readonly message: string; readonly usage?: TokenUsage}
		/** The connection broke after the request was sent; it may have run. */
		| {readonly type: 'attempt-broken'; readonly attempt: number; readonly message: string; readonly usage?: TokenUsage}
		/** A kept connection broke before the answer began; it may have run, and is no fault of a server that goes on. */
		| {readonly type: 'attempt-connection-lost'; readonly attempt: number; readonly message: string}
		/** Nothing came for longer than the adapter waits; the attempt is not over and may still go on. */
		| {readonly type: 'attempt-silent'; readonly attempt: number}
		| {readonly type: 'attempt-judged'; readonly attempt: number; readonly verdict: 'accepted'}
		/** The answer is not good enough; the next target of the cascade serves the request. */
		| {readonly type: 'attempt-judged'; readonly attempt: number; readonly verdict: 'escalated'; readonly target: RequestTarget; readonly judged: boolean};

/** What changes round a request. */
export type SurroundingsEvent
	= | {readonly type: 'timer'; readonly timer: RequestTimer}
		/** The target gets no new work from now on; attempts in progress go on. */
		| {readonly type: 'permission-lost'; readonly target: RequestTarget}
		| {readonly type: 'server-draining'; readonly server: ServerId}
		| {readonly type: 'caller-left'}
		/** A second instance holds the settled bill. */
		| {readonly type: 'bill-settled'}
		/** A planned stop of this instance began. */
		| {readonly type: 'instance-stopping'};

/** The closed list of events in the life of a request. */
export type RequestEvent = PreparationEvent | AttemptEvent | SurroundingsEvent;
