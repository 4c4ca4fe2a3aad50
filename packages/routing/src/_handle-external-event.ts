import {failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {
	endRequest, outcomeOfAttempts, refuseRequest, refuseStopping,
} from './_end-request.js';
import {type RequestTransition} from './_request-transition.js';
import {
	abandonTarget, hasAttemptsLeft, mayStartAttempt, retryServerSelection, startAttempt,
} from './_start-attempt.js';
import {type RequestTarget} from './request-plan.js';
import {type RequestTimer, type ExternalEvent} from './request-event.js';

/**
Handles an event from outside the request's own attempts, such as a timer or a configuration change.

@param transition The transition in progress.
@param event The event.
*/
export function handleExternalEvent(transition: RequestTransition, event: ExternalEvent): void {
	match(event)
		.with({type: 'timer'}, ({timer}) => {
			handleTimer(transition, timer);
		})
		.with({type: 'permission-lost'}, ({target}) => {
			handlePermissionLost(transition, target);
		})
		.with({type: 'server-draining'}, ({server}) => {
			transition.excludeServer(server);
		})
		.with({type: 'caller-left'}, () => {
			handleCallerLeft(transition);
		})
		.with({type: 'bill-settled'}, () => {
			finishAnswer(transition);
		})
		.with({type: 'instance-stopping'}, ({answersDueAt}) => {
			handleStop(transition, answersDueAt);
		})
		.with({type: 'answers-due'}, () => {
			answerUnfinished(transition);
		})
		.exhaustive();
}

/** Refuses a request that waits for its first attempt if it can no longer end in time. */
function handleStop(transition: RequestTransition, answersDueAt: number): void {
	transition.update({stopping: true, answersDueAt});
	const {attempts, stage} = transition.state;
	const isWaiting = stage !== 'settling' && stage !== 'ended' && outcomeOfAttempts(attempts) === 'notRun';
	if (isWaiting && transition.liveAttempts.length === 0 && !mayStartAttempt(transition)) {
		refuseStopping(transition);
	}
}

/** Answers a request without an answer before the connections are closed; a stream goes on until then. */
function answerUnfinished(transition: RequestTransition): void {
	const {attempts, deliveredBytes, stage} = transition.state;
	if (stage === 'settling' || stage === 'ended' || deliveredBytes > 0) {
		return;
	}

	if (outcomeOfAttempts(attempts) === 'notRun') {
		refuseStopping(transition);
	} else {
		refuseRequest(transition, failure('deadline-exceeded-after-dispatch', 'No server answered before the end of this instance'));
	}
}

function handleTimer(transition: RequestTransition, timer: RequestTimer): void {
	match(timer)
		.with('deadline', () => {
			handleDeadline(transition);
		})
		.with('hedge', () => {
			hedgeIfSlow(transition);
		})
		.with('come-back', () => {
			retryServerSelection(transition);
		})
		.exhaustive();
}

function handleDeadline(transition: RequestTransition): void {
	const {attempts, plan} = transition.state;
	const kind = outcomeOfAttempts(attempts) === 'notRun' ? 'deadline-exceeded' : 'deadline-exceeded-after-dispatch';
	refuseRequest(transition, failure(kind, `The answer was not complete by the deadline at ${plan.deadline} ms`));
}

function hedgeIfSlow(transition: RequestTransition): void {
	const {plan, stage, hedged, stopping} = transition.state;
	const [slow, ...others] = transition.liveAttempts;
	if (plan.hedge === undefined || slow?.status !== 'sent' || others.length > 0) {
		return;
	}

	if (stage !== 'running' || !plan.repeatable || hedged || transition.isTargetDisallowed || stopping || !hasAttemptsLeft(transition)) {
		return;
	}

	const {prefillMilliseconds, decodeMilliseconds} = plan.hedge;
	const hedgeAt = slow.lastProgressAt + (slow.received > slow.resumeFrom ? decodeMilliseconds : prefillMilliseconds);
	if (transition.now < hedgeAt) {
		transition.emit({type: 'set-timer', timer: 'hedge', at: hedgeAt});
		return;
	}

	if (slow.target.type === 'version' || transition.state.deliveredBytes === 0) {
		transition.update({hedged: true});
		startAttempt(transition, 'hedge');
	}
}

function handlePermissionLost(transition: RequestTransition, target: RequestTarget): void {
	const {plan, stage} = transition.state;
	transition.disallowTarget(target);
	if (!transition.isTargetDisallowed) {
		return;
	}

	if (stage === 'waiting') {
		transition.emit({type: 'clear-timer', timer: 'come-back'});
		transition.update({stage: 'running', serverRetryScheduled: false});
	}

	if (transition.state.stage === 'running') {
		abandonTarget(transition);
		return;
	}

	const isPreparing = stage === 'admitting' || stage === 'claiming' || stage === 'opening';
	if (isPreparing && plan.session === 'token') {
		abandonTarget(transition);
	}
}

function handleCallerLeft(transition: RequestTransition): void {
	const {plan, attempts, stage} = transition.state;
	const mayHaveRun = outcomeOfAttempts(attempts) !== 'notRun';
	transition.update({callerLeft: true});
	if (plan.finishAfterCallerLeaves === true && mayHaveRun && stage !== 'ended') {
		return;
	}

	endRequest(transition, {outcome: 'cancelled'});
}

/** Completes the answer once the bill is settled. */
function finishAnswer(transition: RequestTransition): void {
	const {stage, answeringAttempt} = transition.state;
	if (stage !== 'settling' || answeringAttempt === undefined) {
		return;
	}

	if (transition.buffersAnswer) {
		transition.emitToCaller({type: 'forward-held', attempt: answeringAttempt});
	}

	endRequest(transition, {outcome: 'answered', finalAction: {type: 'finish-answer', attempt: answeringAttempt}});
}
