import {
	type BillOutcome, type ErrorKind, type Failure, failure, type Outcome,
} from '@valehitch/core';
import {type RequestTransition} from './_request-transition.js';
import {type AttemptBillLine, type CallerAction, type ClaimOutcome} from './request-action.js';
import {type AttemptState} from './request-state.js';

const noUsage = {input: 0, output: 0};

/**
Derives the outcome of the request from its attempts.

@param attempts The attempts.
@returns `ran` if any attempt ran, `notRun` only if every attempt is proven not to have run, `unknown` otherwise.
*/
export function outcomeOfAttempts(attempts: readonly AttemptState[]): Outcome {
	const sent = attempts.filter(({status, outcome}) => status !== 'choosing' && outcome !== 'notRun');
	if (sent.length === 0) {
		return 'notRun';
	}

	return sent.some(({outcome}) => outcome === 'ran') ? 'ran' : 'unknown';
}

/**
Settles the bill if one was opened or may have been opened. Later calls have no effect.

@param transition The transition in progress.
@param outcome How the request ended.
*/
export function settleBill(transition: RequestTransition, outcome: BillOutcome): void {
	const {bill} = transition.state;
	if (bill === 'opening' || bill === 'open') {
		transition.update({bill: 'settled'});
		transition.emit({type: 'settle-bill', outcome, lines: billLinesOf(transition.state.attempts)});
	}
}

/**
Settles the claim if one was taken or may have been taken. Later calls have no effect.

@param transition The transition in progress.
@param outcome How the claim ends.
*/
export function settleClaim(transition: RequestTransition, outcome: ClaimOutcome): void {
	const {claim} = transition.state;
	if (claim === 'pending' || claim === 'taken') {
		transition.update({claim: 'settled'});
		transition.emit({type: 'settle-claim', outcome});
	}
}

/**
Ends the request: cancels its live attempts, settles the bill and the claim, and answers the caller.

@param transition The transition in progress.
@param options How the request ended, and the final action for the caller if there is one.
*/
export function endRequest(transition: RequestTransition, {outcome, finalAction}: EndRequestOptions): void {
	transition.cancelOthers();
	settleBill(transition, outcome);
	settleClaim(transition, outcomeOfAttempts(transition.state.attempts) === 'notRun' ? 'released' : 'unknown');
	clearTimers(transition);
	if (finalAction !== undefined) {
		transition.emitToCaller(finalAction);
	}

	transition.update({stage: 'ended'});
}

/** How a request ends. */
export type EndRequestOptions = {
	readonly outcome: BillOutcome;
	readonly finalAction?: CallerAction;
};

/**
Refuses the request and reports whether it ran.

@param transition The transition in progress.
@param reason The failure; its outcome is replaced by the combined outcome of the attempts.
*/
export function refuseRequest(transition: RequestTransition, reason: Failure): void {
	const outcome = outcomeOfAttempts(transition.state.attempts);
	endRequest(transition, {
		outcome: outcome === 'unknown' ? 'unknown' : 'failed',
		finalAction: {type: 'refuse', failure: {...reason, outcome}, partial: transition.state.deliveredBytes > 0},
	});
}

/** The retry delay during a shutdown, in milliseconds: other instances take the request at once. */
const stoppingRetryMilliseconds = 1000;

/**
Refuses a request that has not run, because the instance stops before its deadline.

@param transition The transition in progress.
*/
export function refuseStopping(transition: RequestTransition): void {
	refuseRequest(transition, failure('shutting-down', 'The instance is shutting down; send the request to another instance', {retryAfterMilliseconds: stoppingRetryMilliseconds}));
}

/**
Refuses the request after its attempts failed, with a failure kind that follows from their outcome.

@param transition The transition in progress.
@param options The message for the caller, and when the caller may retry.
*/
export function giveUp(transition: RequestTransition, {message, retryAfterMilliseconds}: GiveUpOptions): void {
	const kind = failureKindByOutcome[outcomeOfAttempts(transition.state.attempts)];
	refuseRequest(transition, failure(kind, message, kind === 'no-server' ? {retryAfterMilliseconds} : {}));
}

/** The options of `giveUp`. */
export type GiveUpOptions = {
	readonly message: string;
	readonly retryAfterMilliseconds: number;
};

const failureKindByOutcome = {
	notRun: 'no-server',
	ran: 'backend-failed',
	unknown: 'outcome-unknown',
} as const satisfies Record<Outcome, ErrorKind>;

function billLinesOf(attempts: readonly AttemptState[]): AttemptBillLine[] {
	const lines: AttemptBillLine[] = [];
	for (const {number, server, target, purpose, outcome, usage} of attempts) {
		if (server !== undefined) {
			lines.push({
				attempt: number, server, target, purpose, outcome, usage: outcome === 'ran' ? usage : noUsage,
			});
		}
	}

	return lines;
}

function clearTimers(transition: RequestTransition): void {
	const {plan, serverRetryScheduled} = transition.state;
	transition.emit({type: 'clear-timer', timer: 'deadline'});
	if (plan.hedge !== undefined) {
		transition.emit({type: 'clear-timer', timer: 'hedge'});
	}

	if (serverRetryScheduled) {
		transition.emit({type: 'clear-timer', timer: 'come-back'});
	}
}
