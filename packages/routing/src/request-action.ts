import {
	type BillLine, type BillOutcome, type Failure, type Outcome, type ServerId, type TokenUsage,
} from '@valehitch/core';
import {type RequestTimer} from './request-event.js';
import {type RequestTarget} from './request-plan.js';

/** Why an attempt is made. */
export type AttemptPurpose = BillLine['purpose'];

/** How a claim ends: with a stored answer, released because the request did not run, or with an unknown outcome. */
export type ClaimOutcome = 'done' | 'released' | 'unknown';

/** One attempt as a line of the bill; the adapter adds the price. */
export type AttemptBillLine = {
	readonly attempt: number;
	readonly server: ServerId;
	readonly target: RequestTarget;
	readonly purpose: AttemptPurpose;
	/** Whether the attempt ran; one that did not has no usage and costs nothing. */
	readonly outcome: Outcome;
	readonly usage: TokenUsage;
};

/** The actions that precede the choice of a server. */
export type PreparationAction
	/** Answered by `admitted` or `admission-refused`. */
	= | {readonly type: 'request-admission'}
		/** Answered by `session-pinned` or `session-refused`. */
		| {readonly type: 'pin-session'; readonly target: RequestTarget}
		/** Answered by `claim-answered`. */
		| {readonly type: 'take-claim'}
		/** Ends the claim; the adapter stores it and resends it until it is acknowledged. A release may follow a `take-claim` that was not answered. */
		| {readonly type: 'settle-claim'; readonly outcome: ClaimOutcome}
		/** Answered by `bill-opened` or `bill-not-possible`. */
		| {readonly type: 'open-bill'}
		/** Answered by `bill-settled`; the adapter stores it and resends it until it is acknowledged, even after the end of the request. */
		| {readonly type: 'settle-bill'; readonly outcome: BillOutcome; readonly lines: readonly AttemptBillLine[]}
		/** Answered by `version-chosen` or `no-version`. */
		| {readonly type: 'choose-version'; readonly lost: RequestTarget};

/** Checks that the target is still allowed and the server is not draining, then sends the request or answers `dispatch-denied`. */
export type DispatchAttempt = {
	readonly type: 'dispatch';
	readonly attempt: number;
	readonly server: ServerId;
	readonly target: RequestTarget;
	readonly purpose: AttemptPurpose;
	readonly resumeFrom: number;
	/** Whether a new connection is opened instead of reusing one. */
	readonly freshConnection: boolean;
};

/** The actions on attempts. */
export type AttemptAction
	/** Answered by `server-chosen` or `no-server`; if `budgeted` is set, the budget of the purpose is charged here. */
	= | {readonly type: 'choose-server'; readonly attempt: number; readonly purpose: AttemptPurpose; readonly target: RequestTarget; readonly excluded: readonly ServerId[]; readonly budgeted: boolean}
		| DispatchAttempt
		/** Destroys the connection and discards the rest of the attempt. */
		| {readonly type: 'cancel-attempt'; readonly attempt: number}
		/** Answered by `attempt-judged`. */
		| {readonly type: 'judge-attempt'; readonly attempt: number};

/** The actions that write to the caller. The final one is `finish-answer`, `replay-answer` or `refuse`; there is none if the caller has disconnected. */
export type CallerAction
	/** Writes the piece of the current event to the caller. */
	= | {readonly type: 'forward-piece'; readonly attempt: number; readonly offset: number}
		/** Buffers the piece of the current event. */
		| {readonly type: 'hold-piece'; readonly attempt: number; readonly offset: number}
		/** Writes all buffered pieces of the attempt to the caller. */
		| {readonly type: 'forward-held'; readonly attempt: number}
		/** Discards the buffered pieces of the attempt. */
		| {readonly type: 'drop-held'; readonly attempt: number}
		/** Writes the end of the complete answer. */
		| {readonly type: 'finish-answer'; readonly attempt: number}
		/** Answers with the answer that the claim stored. */
		| {readonly type: 'replay-answer'}
		/** Answers with the failure. If `partial` is set, part of an answer was already written, so the connection is closed to keep the caller from taking it for a complete one. */
		| {readonly type: 'refuse'; readonly failure: Failure; readonly partial: boolean};

/** The actions on timers. */
export type TimerAction
	/** The time is in milliseconds on the monotonic clock; setting a timer again replaces its time. */
	= | {readonly type: 'set-timer'; readonly timer: RequestTimer; readonly at: number}
		| {readonly type: 'clear-timer'; readonly timer: RequestTimer};

/** Every action that a request can emit. */
export type RequestAction = PreparationAction | AttemptAction | CallerAction | TimerAction;
