import {failure} from '@valehitch/core';
import {
	giveUp, type GiveUpOptions, outcomeOfAttempts, refuseRequest, refuseStopping,
} from './_end-request.js';
import {type RequestTransition} from './_request-transition.js';
import {mayStartWhileStopping} from './may-start-while-stopping.js';
import {type AttemptPurpose} from './request-action.js';
import {type RequestPlan} from './request-plan.js';
import {type AttemptState} from './request-state.js';

const defaultMaximumAttempts = 4;
const noUsage = {input: 0, output: 0};

/**
Creates an attempt and requests a server for it.

@param transition The transition in progress.
@param purpose Why the attempt is made.
@param options Whether the attempt is charged to the budget of its purpose.
*/
export function startAttempt(transition: RequestTransition, purpose: AttemptPurpose, {budgeted = true}: StartAttemptOptions = {}): void {
	transition.update({stage: 'running'});
	if (transition.isTargetDisallowed) {
		abandonTarget(transition);
		return;
	}

	if (!mayStartAttempt(transition)) {
		endStopping(transition);
		return;
	}

	const {nextAttemptNumber, target, attempts, deliveredBytes} = transition.state;
	const attempt: AttemptState = {
		number: nextAttemptNumber,
		purpose,
		budgeted,
		target,
		status: 'choosing',
		outcome: 'notRun',
		stalled: false,
		neverSent: false,
		server: undefined,
		resumeFrom: deliveredBytes,
		received: deliveredBytes,
		lastProgressAt: transition.now,
		usage: noUsage,
	};
	transition.update({nextAttemptNumber: nextAttemptNumber + 1, attempts: [...attempts, attempt]});
	chooseServer(transition, attempt);
}

/**
Checks whether the request may be sent if the instance stops.

@param transition The transition in progress.
@returns Whether it may.
*/
export function mayStartAttempt({now, state: {answersDueAt, attempts, plan}}: RequestTransition): boolean {
	return mayStartWhileStopping({
		deadlineAt: plan.deadline, answersDueAt, isNotRun: outcomeOfAttempts(attempts) === 'notRun', now,
	});
}

/** Ends a request that may not be sent because the instance stops, unless an attempt may still answer it. */
function endStopping(transition: RequestTransition): void {
	if (transition.liveAttempts.length > 0) {
		return;
	}

	if (outcomeOfAttempts(transition.state.attempts) === 'notRun') {
		refuseStopping(transition);
	} else {
		giveUp(transition, {message: 'The instance stops before the request can be sent again', retryAfterMilliseconds: 0});
	}
}

/** The options of `startAttempt`. */
export type StartAttemptOptions = {
	/** Whether the attempt is charged to the retry or hedge budget; true by default. */
	readonly budgeted?: boolean;
};

/**
Requests a server for an attempt. Servers that this request has tried, is using or must avoid are excluded.

@param transition The transition in progress.
@param attempt The attempt.
*/
export function chooseServer(transition: RequestTransition, {
	number, purpose, target, budgeted,
}: AttemptState): void {
	const excluded = [...transition.state.excludedServers, ...transition.state.triedServers];
	for (const {server} of transition.liveAttempts) {
		if (server !== undefined) {
			excluded.push(server);
		}
	}

	transition.emit({
		type: 'choose-server', attempt: number, purpose, target, excluded, budgeted,
	});
}

/** How the next attempt is made, and how the request is refused if none is possible. */
export type RetryOptions = GiveUpOptions & StartAttemptOptions & {
	/** The purpose of the next attempt; derived from the state of the request by default. */
	readonly purpose?: AttemptPurpose;
};

/**
Starts another attempt after one failed or stalled, if a retry is allowed and safe; otherwise waits for a server or ends the request.

Does nothing while another attempt is active.

@param transition The transition in progress.
@param options How the next attempt is made, and how the request is refused if none is possible.
*/
export function retryOrGiveUp(transition: RequestTransition, {purpose, budgeted = true, ...options}: RetryOptions): void {
	if (transition.activeAttempts.length > 0) {
		return;
	}

	if (transition.isTargetDisallowed) {
		abandonTarget(transition);
		return;
	}

	if (mayRetry(transition) && !hasReachedConnectionLimit(transition)) {
		startAttempt(transition, purpose ?? nextPurpose(transition), {budgeted});
		return;
	}

	waitOrGiveUp(transition, options);
}

/**
Schedules another server selection if the caller could not obtain the answer by sending the request again; otherwise ends the request.

Does nothing while an attempt is active, and does not end the request while a stalled attempt may still continue.

@param transition The transition in progress.
@param options How the request is refused.
*/
export function waitOrGiveUp(transition: RequestTransition, options: GiveUpOptions): void {
	if (transition.activeAttempts.length > 0) {
		return;
	}

	const {plan, serverRetryScheduled, stopping} = transition.state;
	const hasLiveAttempt = transition.liveAttempts.length > 0;
	const wait = Math.min(plan.serverRetryMilliseconds ?? 0, options.retryAfterMilliseconds);
	const fitsDeadline = wait > 0 && transition.now + wait < plan.deadline;
	if (!fitsDeadline || stopping || !isWorthWaiting(transition) || !mayRetry(transition)) {
		if (!hasLiveAttempt) {
			giveUp(transition, options);
		}

		return;
	}

	transition.update({stage: hasLiveAttempt ? 'running' : 'waiting'});
	if (!serverRetryScheduled) {
		transition.update({serverRetryScheduled: true});
		transition.emit({type: 'set-timer', timer: 'come-back', at: transition.now + wait});
	}
}

/**
Checks whether waiting for a server can help the request. A request that did not run is refused at once, since its caller can retry it safely. A request that a server has reported as failed would fail again.
*/
function isWorthWaiting({state: {attempts, deliveredBytes, reportedFailure}}: RequestTransition): boolean {
	return deliveredBytes > 0 || (!reportedFailure && outcomeOfAttempts(attempts) !== 'notRun');
}

/**
Selects a server again when the scheduled wait is over, unless an attempt is active. Servers that were tried before are eligible again.

@param transition The transition in progress.
*/
export function retryServerSelection(transition: RequestTransition): void {
	transition.update({serverRetryScheduled: false});
	const isWaiting = transition.state.stage === 'waiting' || transition.state.stage === 'running';
	if (!isWaiting || transition.activeAttempts.length > 0) {
		return;
	}

	transition.update({triedServers: [], connectionFailures: 0});
	retryOrGiveUp(transition, {message: 'No server is available for the request', retryAfterMilliseconds: transition.state.plan.serverRetryMilliseconds ?? 0});
}

/**
Stops attempts on a target that is no longer allowed. Requests another version if nothing ran and no session is bound to the target; otherwise ends the request once no attempt is live.

@param transition The transition in progress.
*/
export function abandonTarget(transition: RequestTransition): void {
	for (const {number, status} of transition.liveAttempts) {
		if (status === 'choosing') {
			transition.removeAttempt(number);
		}
	}

	const {plan, target, attempts} = transition.state;
	if (transition.liveAttempts.length > 0) {
		return;
	}

	if (outcomeOfAttempts(attempts) !== 'notRun') {
		giveUp(transition, {message: `The answer is incomplete and ${formatTarget(target)} no longer accepts requests`, retryAfterMilliseconds: 0});
		return;
	}

	if (plan.session !== 'none') {
		refuseRequest(transition, failure('session-ended', `The session is bound to ${formatTarget(target)}, which no longer accepts requests; start a new session`));
		return;
	}

	transition.update({stage: 'planning'});
	transition.emit({type: 'choose-version', lost: target});
}

/**
Checks whether the attempt limit allows another attempt on the current target. Attempts whose connection never opened do not count.

@param transition The transition in progress.
@returns Whether another attempt is allowed.
*/
export function hasAttemptsLeft({state}: RequestTransition): boolean {
	const {plan, target, attempts} = state;
	const attemptCount = attempts.filter(attempt => attempt.target === target && attempt.server !== undefined && !attempt.neverSent).length;
	return attemptCount < maximumAttemptsOf(plan);
}

/** Checks whether as many connections have failed to open as the attempt limit allows, which bounds how many unreachable servers are tried before the request waits or is refused. */
function hasReachedConnectionLimit({state: {plan, connectionFailures}}: RequestTransition): boolean {
	return connectionFailures >= maximumAttemptsOf(plan);
}

function maximumAttemptsOf({maximumAttempts = defaultMaximumAttempts}: RequestPlan): number {
	return maximumAttempts;
}

function mayRetry(transition: RequestTransition): boolean {
	const {plan, target, attempts, deliveredBytes} = transition.state;
	if (!hasAttemptsLeft(transition) || transition.now >= plan.deadline) {
		return false;
	}

	if (!plan.repeatable) {
		return outcomeOfAttempts(attempts) === 'notRun';
	}

	return deliveredBytes === 0 || target.type === 'version';
}

function nextPurpose({state}: RequestTransition): AttemptPurpose {
	if (state.deliveredBytes > 0) {
		return 'resume';
	}

	return state.attempts.length > 0 ? 'retry' : 'first';
}

function formatTarget(target: AttemptState['target']): string {
	return target.type === 'version' ? `${target.model} ${target.version}` : target.service;
}
