import {failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {endRequest, outcomeOfAttempts, refuseRequest} from './_end-request.js';
import {type RequestChange} from './_request-change.js';
import {
	comeBack, hasAttemptsLeft, startAttempt, stopForPermission,
} from './_start-attempt.js';
import {type RequestTarget} from './request-plan.js';
import {type RequestTimer, type SurroundingsEvent} from './request-event.js';

/**
Takes an event from round the request.

@param change The step.
@param event The event.
*/
export function takeSurroundings(change: RequestChange, event: SurroundingsEvent): void {
	match(event)
		.with({type: 'timer'}, ({timer}) => {
			takeTimer(change, timer);
		})
		.with({type: 'permission-lost'}, ({target}) => {
			losePermission(change, target);
		})
		.with({type: 'server-draining'}, ({server}) => {
			change.avoid(server);
		})
		.with({type: 'caller-left'}, () => {
			leave(change);
		})
		.with({type: 'bill-settled'}, () => {
			finish(change);
		})
		.with({type: 'instance-stopping'}, () => {
			change.set({stopping: true});
		})
		.exhaustive();
}

function takeTimer(change: RequestChange, timer: RequestTimer): void {
	match(timer)
		.with('deadline', () => {
			passDeadline(change);
		})
		.with('hedge', () => {
			hedge(change);
		})
		.with('come-back', () => {
			comeBack(change);
		})
		.exhaustive();
}

function passDeadline(change: RequestChange): void {
	const {attempts, plan} = change.state;
	const kind = outcomeOfAttempts(attempts) === 'notRun' ? 'deadline-exceeded' : 'deadline-exceeded-after-dispatch';
	refuseRequest(change, failure(kind, `Got no whole answer by the deadline at ${plan.deadline} ms`));
}

function hedge(change: RequestChange): void {
	const {plan, stage, hedged, stopping} = change.state;
	const [slow, ...others] = change.live;
	if (plan.hedge === undefined || slow?.status !== 'sent' || others.length > 0) {
		return;
	}

	if (stage !== 'running' || !plan.repeatable || hedged || change.permissionLost || stopping || !hasAttemptsLeft(change)) {
		return;
	}

	const {prefillMilliseconds, decodeMilliseconds} = plan.hedge;
	const due = slow.progressAt + (slow.received > slow.resumeFrom ? decodeMilliseconds : prefillMilliseconds);
	if (change.now < due) {
		change.act({type: 'set-timer', timer: 'hedge', at: due});
		return;
	}

	if (slow.target.type === 'version' || change.state.delivered === 0) {
		change.set({hedged: true});
		startAttempt(change, 'hedge');
	}
}

function losePermission(change: RequestChange, target: RequestTarget): void {
	const {plan, stage} = change.state;
	change.lose(target);
	if (!change.permissionLost) {
		return;
	}

	if (stage === 'waiting') {
		change.act({type: 'clear-timer', timer: 'come-back'});
		change.set({stage: 'running', comingBack: false});
	}

	if (change.state.stage === 'running') {
		stopForPermission(change);
		return;
	}

	const isPreparing = stage === 'admitting' || stage === 'claiming' || stage === 'opening';
	if (isPreparing && plan.session === 'token') {
		stopForPermission(change);
	}
}

function leave(change: RequestChange): void {
	const {plan, attempts, stage} = change.state;
	const mayHaveRun = outcomeOfAttempts(attempts) !== 'notRun';
	change.set({callerLeft: true});
	if (plan.finishWithoutCaller === true && mayHaveRun && stage !== 'ended') {
		return;
	}

	endRequest(change, {outcome: 'cancelled'});
}

function finish(change: RequestChange): void {
	const {stage, leader} = change.state;
	if (stage !== 'settling' || leader === undefined) {
		return;
	}

	if (change.holds) {
		change.tell({type: 'forward-held', attempt: leader});
	}

	endRequest(change, {outcome: 'answered', last: {type: 'finish-answer', attempt: leader}});
}
