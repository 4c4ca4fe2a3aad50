import {
	type BillLine, type BillOutcome, type Failure, type Outcome, type ServerId, type TokenUsage,
} from '@valehitch/core';
import {type RequestTimer} from './request-event.js';
import {type RequestTarget} from './request-plan.js';

/** Why an attempt is made. */
export type AttemptPurpose = BillLine['purpose'];

/** How a claim ends: with an answer, surely not run, or not known. */
export type ClaimOutcome = 'done' | 'released' | 'unknown';

/** One attempt as its line of the bill; the adapter puts the price to it. */
export type AttemptLine = {
	readonly attempt: number;
	readonly server: ServerId;
	readonly target: RequestTarget;
	readonly purpose: AttemptPurpose;
	/** Whether the attempt ran; one that did not has no usage and costs nothing. */
	readonly outcome: Outcome;
	readonly usage: TokenUsage;
};

/** What is to be done before a server is chosen. */
export type PreparationAction
	/** Answered by `admitted` or `admission-refused`. */
	= | {readonly type: 'request-admission'}
		/** Answered by `session-pinned` or `session-refused`. */
		| {readonly type: 'pin-session'; readonly target: RequestTarget}
		/** Answered by `claim-answered`. */
		| {readonly type: 'take-claim'}
		/** Ends the claim; kept and sent again until acknowledged. A release may follow a take that was not answered. */
		| {readonly type: 'settle-claim'; readonly outcome: ClaimOutcome}
		/** Answered by `bill-opened` or `bill-not-possible`. */
		| {readonly type: 'open-bill'}
		/** Answered by `bill-settled`; kept and sent again until acknowledged, also after the request ended. */
		| {readonly type: 'settle-bill'; readonly outcome: BillOutcome; readonly lines: readonly AttemptLine[]}
		/** Answered by `version-chosen` or `no-version`. */
		| {readonly type: 'choose-version'; readonly lost: RequestTarget};

/** Check permission, version state and drain state now; then send, or answer `dispatch-denied`. */
export type DispatchAttempt = {
	readonly type: 'dispatch';
	readonly attempt: number;
	readonly server: ServerId;
	readonly target: RequestTarget;
	readonly purpose: AttemptPurpose;
	readonly resumeFrom: number;
	/** Whether it opens a connection of its own. */
	readonly freshConnection: boolean;
};

/** What is to be done about attempts. */
export type AttemptAction
	/** Answered by `server-chosen` or `no-server`; the budget of the purpose is asked here where `budgeted` says so. */
	= | {readonly type: 'choose-server'; readonly attempt: number; readonly purpose: AttemptPurpose; readonly target: RequestTarget; readonly excluded: readonly ServerId[]; readonly budgeted: boolean}
		| DispatchAttempt
		/** Destroy the connection; nothing of the attempt is wanted any more. */
		| {readonly type: 'cancel-attempt'; readonly attempt: number}
		/** Answered by `attempt-judged`. */
		| {readonly type: 'judge-attempt'; readonly attempt: number};

/** What is to be done towards the caller; the last of them is `finish-answer`, `replay-answer` or `refuse`, or none where the caller left. */
export type CallerAction
	/** Write the piece of the event in hand to the caller. */
	= | {readonly type: 'forward-piece'; readonly attempt: number; readonly offset: number}
		/** Keep the piece of the event in hand. */
		| {readonly type: 'hold-piece'; readonly attempt: number; readonly offset: number}
		/** Write all the pieces held of the attempt to the caller. */
		| {readonly type: 'forward-held'; readonly attempt: number}
		/** Forget the pieces held of the attempt. */
		| {readonly type: 'drop-held'; readonly attempt: number}
		/** Write the end of the answer, which is whole. */
		| {readonly type: 'finish-answer'; readonly attempt: number}
		/** Answer with what the claim kept. */
		| {readonly type: 'replay-answer'}
		/** Answer with the failure; where part of an answer went out, end the connection so that the part cannot be taken for a whole. */
		| {readonly type: 'refuse'; readonly failure: Failure; readonly partial: boolean};

/** What is to be done about timers. */
export type TimerAction
	/** The time is in milliseconds on the monotonic clock; a timer that is set again moves. */
	= | {readonly type: 'set-timer'; readonly timer: RequestTimer; readonly at: number}
		| {readonly type: 'clear-timer'; readonly timer: RequestTimer};

/** The closed list of actions in the life of a request. */
export type RequestAction = PreparationAction | AttemptAction | CallerAction | TimerAction;
