import {type ErrorKind, failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {endRequest, refuseRequest} from './_end-request.js';
import {type RequestTransition} from './_request-transition.js';
import {startAttempt} from './_start-attempt.js';
import {type ClaimResult, type PreparationEvent} from './request-event.js';
import {type RequestTarget} from './request-plan.js';
import {type RequestStage} from './request-state.js';

const stageByEvent = {
	admitted: 'admitting',
	'admission-refused': 'admitting',
	'session-pinned': 'pinning',
	'session-refused': 'pinning',
	'claim-answered': 'claiming',
	'bill-opened': 'opening',
	'bill-not-possible': 'opening',
	'version-chosen': 'planning',
	'no-version': 'planning',
} as const satisfies Record<PreparationEvent['type'], RequestStage>;

/**
Handles an event that precedes the first dispatch. Events that do not belong to the current stage are ignored.

@param transition The transition in progress.
@param event The event.
*/
export function handlePreparationEvent(transition: RequestTransition, event: PreparationEvent): void {
	if (transition.state.stage !== stageByEvent[event.type]) {
		return;
	}

	match(event)
		.with({type: 'admitted'}, () => {
			pinSession(transition);
		})
		.with({type: 'session-pinned'}, ({target}) => {
			transition.update({target});
			takeClaim(transition);
		})
		.with({type: 'claim-answered'}, ({answer, retryAfterMilliseconds}) => {
			handleClaimAnswered(transition, {answer, retryAfterMilliseconds: retryAfterMilliseconds ?? defaultRetryAfterMilliseconds});
		})
		.with({type: 'bill-opened'}, () => {
			transition.update({bill: 'open'});
			startAttempt(transition, 'first');
		})
		.with({type: 'version-chosen'}, ({target, judged}) => {
			handleVersionChosen(transition, {target, judged});
		})
		.with({type: 'admission-refused'}, {type: 'session-refused'}, {type: 'bill-not-possible'}, {type: 'no-version'}, refused => {
			refuseRequest(transition, refused.failure);
		})
		.exhaustive();
}

function handleVersionChosen(transition: RequestTransition, {target, judged}: {readonly target: RequestTarget; readonly judged: boolean}): void {
	transition.update({target, judged: judged && transition.state.plan.repeatable});
	if (transition.isTargetDisallowed) {
		refuseRequest(transition, failure('no-server', 'No version accepts new requests', {retryAfterMilliseconds: defaultRetryAfterMilliseconds}));
		return;
	}

	startAttempt(transition, transition.state.attempts.length > 0 ? 'retry' : 'first');
}

function pinSession(transition: RequestTransition): void {
	const {plan, target} = transition.state;
	if (plan.session !== 'name') {
		takeClaim(transition);
		return;
	}

	transition.update({stage: 'pinning'});
	transition.emit({type: 'pin-session', target});
}

function takeClaim(transition: RequestTransition): void {
	if (!transition.state.plan.requiresClaim) {
		openBill(transition);
		return;
	}

	transition.update({stage: 'claiming', claim: 'pending'});
	transition.emit({type: 'take-claim'});
}

function openBill(transition: RequestTransition): void {
	transition.update({stage: 'opening', bill: 'opening'});
	transition.emit({type: 'open-bill'});
}

type ClaimAnsweredOptions = {
	readonly answer: ClaimResult;
	readonly retryAfterMilliseconds: number;
};

const defaultRetryAfterMilliseconds = 1000;

type ClaimRefusal = {
	readonly kind: ErrorKind;
	readonly message: string;
};

const claimRefusals = {
	'in-progress': {kind: 'claim-in-progress', message: 'Another request with this idempotency key is in progress'},
	unknown: {kind: 'outcome-unknown', message: 'An earlier request with this idempotency key ended with an unknown outcome, so it is not sent again'},
	'key-reused': {kind: 'key-reused', message: 'The idempotency key was already used with a different request'},
} as const satisfies Record<string, ClaimRefusal>;

function handleClaimAnswered(transition: RequestTransition, {answer, retryAfterMilliseconds}: ClaimAnsweredOptions): void {
	if (answer === 'taken') {
		transition.update({claim: 'taken'});
		openBill(transition);
		return;
	}

	if (answer === 'no-quorum') {
		// The claim may still be committed later, so `refuseRequest` releases it.
		refuseRequest(transition, failure('no-quorum', 'No quorum confirmed the claim on the idempotency key', {retryAfterMilliseconds}));
		return;
	}

	transition.update({claim: 'settled'});
	if (answer === 'done') {
		endRequest(transition, {outcome: 'answered', finalAction: {type: 'replay-answer'}});
		return;
	}

	const {kind, message} = claimRefusals[answer];
	endRequest(transition, {
		outcome: 'failed',
		finalAction: {type: 'refuse', failure: failure(kind, message, answer === 'in-progress' ? {retryAfterMilliseconds} : {}), partial: false},
	});
}
