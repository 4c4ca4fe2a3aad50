import {
	type BillOutcome, type ErrorKind, type Failure, failure, type Outcome,
} from '@valehitch/core';
import {type RequestChange} from './_request-change.js';
import {type AttemptLine, type CallerAction, type ClaimOutcome} from './request-action.js';
import {type AttemptState} from './request-state.js';

const nothing = {input: 0, output: 0};

/**
Tells whether the request ran, from all its attempts.

@param attempts The attempts.
@returns `notRun` only where every attempt is proven not to have run.
*/
export function outcomeOfAttempts(attempts: readonly AttemptState[]): Outcome {
	const sent = attempts.filter(({status, outcome}) => status !== 'choosing' && outcome !== 'notRun');
	if (sent.length === 0) {
		return 'notRun';
	}

	return sent.some(({outcome}) => outcome === 'ran') ? 'ran' : 'unknown';
}

/**
Settles the bill, where one was opened or may have been; does so once.

@param change The step.
@param outcome How the request ended.
*/
export function settleBill(change: RequestChange, outcome: BillOutcome): void {
	const {bill} = change.state;
	if (bill === 'opening' || bill === 'open') {
		change.set({bill: 'settled'});
		change.act({type: 'settle-bill', outcome, lines: linesOf(change.state.attempts)});
	}
}

/**
Settles the claim, where one was taken or may have been; does so once.

@param change The step.
@param outcome How the claim ends.
*/
export function settleClaim(change: RequestChange, outcome: ClaimOutcome): void {
	const {claim} = change.state;
	if (claim === 'pending' || claim === 'taken') {
		change.set({claim: 'settled'});
		change.act({type: 'settle-claim', outcome});
	}
}

/**
Ends the request: cancels what is live, settles, and tells the caller.

@param change The step.
@param options How it ended and the last action towards the caller, where there is one.
*/
export function endRequest(change: RequestChange, {outcome, last}: EndRequestOptions): void {
	change.cancelOthers();
	settleBill(change, outcome);
	settleClaim(change, outcomeOfAttempts(change.state.attempts) === 'notRun' ? 'released' : 'unknown');
	clearTimers(change);
	if (last !== undefined) {
		change.tell(last);
	}

	change.set({stage: 'ended'});
}

/** How a request ends. */
export type EndRequestOptions = {
	readonly outcome: BillOutcome;
	readonly last?: CallerAction;
};

/**
Refuses the request with a failure that says truly whether it ran.

@param change The step.
@param failed The failure; its outcome is replaced by that of the attempts.
*/
export function refuseRequest(change: RequestChange, failed: Failure): void {
	const ran = outcomeOfAttempts(change.state.attempts);
	endRequest(change, {
		outcome: ran === 'unknown' ? 'unknown' : 'failed',
		last: {type: 'refuse', failure: {...failed, outcome: ran}, partial: change.state.delivered > 0},
	});
}

/**
Gives up on the request after its attempts came to nothing.

@param change The step.
@param options What happened, and when to come back.
*/
export function giveUp(change: RequestChange, {message, retryAfterMilliseconds}: GiveUpOptions): void {
	const kind = giveUpKinds[outcomeOfAttempts(change.state.attempts)];
	refuseRequest(change, failure(kind, message, kind === 'no-server' ? {retryAfterMilliseconds} : {}));
}

/** What is said when a request is given up on. */
export type GiveUpOptions = {
	readonly message: string;
	readonly retryAfterMilliseconds: number;
};

const giveUpKinds = {
	notRun: 'no-server',
	ran: 'backend-failed',
	unknown: 'outcome-unknown',
} as const satisfies Record<Outcome, ErrorKind>;

function linesOf(attempts: readonly AttemptState[]): AttemptLine[] {
	const lines: AttemptLine[] = [];
	for (const {number, server, target, purpose, outcome, usage} of attempts) {
		if (server !== undefined) {
			lines.push({
				attempt: number, server, target, purpose, outcome, usage: outcome === 'ran' ? usage : nothing,
			});
		}
	}

	return lines;
}

function clearTimers(change: RequestChange): void {
	const {plan, comingBack} = change.state;
	change.act({type: 'clear-timer', timer: 'deadline'});
	if (plan.hedge !== undefined) {
		change.act({type: 'clear-timer', timer: 'hedge'});
	}

	if (comingBack) {
		change.act({type: 'clear-timer', timer: 'come-back'});
	}
}
