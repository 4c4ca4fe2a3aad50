import {failure} from '@valehitch/core';
import {
	giveUp, type GiveUpOptions, outcomeOfAttempts, refuseRequest,
} from './_end-request.js';
import {type RequestChange} from './_request-change.js';
import {type AttemptPurpose} from './request-action.js';
import {type RequestPlan} from './request-plan.js';
import {type AttemptState} from './request-state.js';

const defaultMaximumAttempts = 4;
const nothing = {input: 0, output: 0};

/**
Begins an attempt by asking for a server.

@param change The step.
@param purpose Why the attempt is made.
@param options Whether it draws on the budget of its purpose.
*/
export function startAttempt(change: RequestChange, purpose: AttemptPurpose, {budgeted = true}: StartAttemptOptions = {}): void {
	change.set({stage: 'running'});
	if (change.permissionLost) {
		stopForPermission(change);
		return;
	}

	const {nextAttempt, target, attempts, delivered} = change.state;
	const attempt: AttemptState = {
		number: nextAttempt,
		purpose,
		budgeted,
		target,
		status: 'choosing',
		outcome: 'notRun',
		silent: false,
		unsent: false,
		server: undefined,
		resumeFrom: delivered,
		received: delivered,
		progressAt: change.now,
		usage: nothing,
	};
	change.set({nextAttempt: nextAttempt + 1, attempts: [...attempts, attempt]});
	chooseServer(change, attempt);
}

/** How an attempt begins. */
export type StartAttemptOptions = {
	/** Whether it draws on the budget of its purpose; true by default. */
	readonly budgeted?: boolean;
};

/**
Asks for a server for an attempt, without those that were tried or are in use for this request.

@param change The step.
@param attempt The attempt.
*/
export function chooseServer(change: RequestChange, {
	number, purpose, target, budgeted,
}: AttemptState): void {
	const excluded = [...change.state.draining, ...change.state.tried];
	for (const {server} of change.live) {
		if (server !== undefined) {
			excluded.push(server);
		}
	}

	change.act({
		type: 'choose-server', attempt: number, purpose, target, excluded, budgeted,
	});
}

/** What to say when the request is given up on, and how the next attempt is made. */
export type TryAgainOptions = GiveUpOptions & StartAttemptOptions & {
	/** Why it is made; by default as the state of the request says. */
	readonly purpose?: AttemptPurpose;
};

/**
Tries again after an attempt came to nothing or fell silent, unless another one is active, where that is allowed and safe; else waits or gives up.

@param change The step.
@param options What follows.
*/
export function tryAgain(change: RequestChange, {purpose, budgeted = true, ...options}: TryAgainOptions): void {
	if (change.active.length > 0) {
		return;
	}

	if (change.permissionLost) {
		stopForPermission(change);
		return;
	}

	if (mayTryAgain(change) && !hasTooManyUnreachable(change)) {
		startAttempt(change, purpose ?? purposeOfNext(change), {budgeted});
		return;
	}

	waitOrGiveUp(change, options);
}

/**
Waits until servers are asked again, where the caller could not get the answer by coming again; else gives up, unless an attempt that fell silent may still go on.

@param change The step.
@param options What to say when the request is given up on.
*/
export function waitOrGiveUp(change: RequestChange, options: GiveUpOptions): void {
	if (change.active.length > 0) {
		return;
	}

	const {plan, comingBack, stopping} = change.state;
	const hasLive = change.live.length > 0;
	const wait = Math.min(plan.comeBackMilliseconds ?? 0, options.retryAfterMilliseconds);
	const isInTime = wait > 0 && change.now + wait < plan.deadline;
	if (!isInTime || stopping || !isWorthWaiting(change) || !mayTryAgain(change)) {
		if (!hasLive) {
			giveUp(change, options);
		}

		return;
	}

	change.set({stage: hasLive ? 'running' : 'waiting'});
	if (!comingBack) {
		change.set({comingBack: true});
		change.act({type: 'set-timer', timer: 'come-back', at: change.now + wait});
	}
}

/** Whether a server that is back later saves the request: what did not run is refused at once, so that its caller can come again, and what a server says has failed would fail again. */
function isWorthWaiting({state: {attempts, delivered, reportedFailure}}: RequestChange): boolean {
	return delivered > 0 || (!reportedFailure && outcomeOfAttempts(attempts) !== 'notRun');
}

/**
Asks for a server once more after a wait, unless an attempt is active again; servers that were passed over may be asked again.

@param change The step.
*/
export function comeBack(change: RequestChange): void {
	change.set({comingBack: false});
	const isWaiting = change.state.stage === 'waiting' || change.state.stage === 'running';
	if (!isWaiting || change.active.length > 0) {
		return;
	}

	change.set({tried: [], unreachable: 0});
	tryAgain(change, {message: 'Got no server that can take the request', retryAfterMilliseconds: change.state.plan.comeBackMilliseconds ?? 0});
}

/**
Stops sending to the target that gets no new work: another version where nothing ran and no session holds it, else the end.

@param change The step.
*/
export function stopForPermission(change: RequestChange): void {
	for (const {number, status} of change.live) {
		if (status === 'choosing') {
			change.removeAttempt(number);
		}
	}

	const {plan, target, attempts} = change.state;
	if (change.live.length > 0) {
		return;
	}

	if (outcomeOfAttempts(attempts) !== 'notRun') {
		giveUp(change, {message: `Got no whole answer, and ${nameOf(target)} takes no new work any more`, retryAfterMilliseconds: 0});
		return;
	}

	if (plan.session !== 'none') {
		refuseRequest(change, failure('session-ended', `Got a session on ${nameOf(target)}, which takes no new work any more; wanted a new session`));
		return;
	}

	change.set({stage: 'planning'});
	change.act({type: 'choose-version', lost: target});
}

/**
Tells whether the target may get another attempt.

@param change The step.
@returns Whether the number of attempts allows it.
*/
export function hasAttemptsLeft({state}: RequestChange): boolean {
	const {plan, target, attempts} = state;
	const made = attempts.filter(attempt => attempt.target === target && attempt.server !== undefined && !attempt.unsent).length;
	return made < maximumAttemptsOf(plan);
}

/** Bounds how many servers that cannot be reached hold a request up before it is refused or waits. */
function hasTooManyUnreachable({state: {plan, unreachable}}: RequestChange): boolean {
	return unreachable >= maximumAttemptsOf(plan);
}

function maximumAttemptsOf({maximumAttempts = defaultMaximumAttempts}: RequestPlan): number {
	return maximumAttempts;
}

function mayTryAgain(change: RequestChange): boolean {
	const {plan, target, attempts, delivered} = change.state;
	if (!hasAttemptsLeft(change) || change.now >= plan.deadline) {
		return false;
	}

	if (!plan.repeatable) {
		return outcomeOfAttempts(attempts) === 'notRun';
	}

	return delivered === 0 || target.type === 'version';
}

function purposeOfNext({state}: RequestChange): AttemptPurpose {
	if (state.delivered > 0) {
		return 'resume';
	}

	return state.attempts.length > 0 ? 'retry' : 'first';
}

function nameOf(target: AttemptState['target']): string {
	return target.type === 'version' ? `${target.model} ${target.version}` : target.service;
}
