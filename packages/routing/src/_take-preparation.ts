import {type ErrorKind, failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {endRequest, refuseRequest} from './_end-request.js';
import {type RequestChange} from './_request-change.js';
import {startAttempt} from './_start-attempt.js';
import {type ClaimAnswer, type PreparationEvent} from './request-event.js';
import {type RequestTarget} from './request-plan.js';
import {type RequestStage} from './request-state.js';

const stageOfEvent = {
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
Takes an event before the first dispatch; one that does not fit the stage changes nothing.

@param change The step.
@param event The event.
*/
export function takePreparation(change: RequestChange, event: PreparationEvent): void {
	if (change.state.stage !== stageOfEvent[event.type]) {
		return;
	}

	match(event)
		.with({type: 'admitted'}, () => {
			pin(change);
		})
		.with({type: 'session-pinned'}, ({target}) => {
			change.set({target});
			claim(change);
		})
		.with({type: 'claim-answered'}, ({answer, retryAfterMilliseconds}) => {
			takeClaimAnswer(change, {answer, retryAfterMilliseconds: retryAfterMilliseconds ?? defaultRetryAfterMilliseconds});
		})
		.with({type: 'bill-opened'}, () => {
			change.set({bill: 'open'});
			startAttempt(change, 'first');
		})
		.with({type: 'version-chosen'}, ({target, judged}) => {
			takeVersion(change, {target, judged});
		})
		.with({type: 'admission-refused'}, {type: 'session-refused'}, {type: 'bill-not-possible'}, {type: 'no-version'}, refused => {
			refuseRequest(change, refused.failure);
		})
		.exhaustive();
}

function takeVersion(change: RequestChange, {target, judged}: {readonly target: RequestTarget; readonly judged: boolean}): void {
	change.set({target, judged: judged && change.state.plan.repeatable});
	if (change.permissionLost) {
		refuseRequest(change, failure('no-server', 'Got only versions that take no new work', {retryAfterMilliseconds: defaultRetryAfterMilliseconds}));
		return;
	}

	startAttempt(change, change.state.attempts.length > 0 ? 'retry' : 'first');
}

function pin(change: RequestChange): void {
	const {plan, target} = change.state;
	if (plan.session !== 'name') {
		claim(change);
		return;
	}

	change.set({stage: 'pinning'});
	change.act({type: 'pin-session', target});
}

function claim(change: RequestChange): void {
	if (!change.state.plan.claimed) {
		openBill(change);
		return;
	}

	change.set({stage: 'claiming', claim: 'pending'});
	change.act({type: 'take-claim'});
}

function openBill(change: RequestChange): void {
	change.set({stage: 'opening', bill: 'opening'});
	change.act({type: 'open-bill'});
}

type ClaimAnswered = {
	readonly answer: ClaimAnswer;
	readonly retryAfterMilliseconds: number;
};

const defaultRetryAfterMilliseconds = 1000;

type RefusedClaim = {
	readonly kind: ErrorKind;
	readonly message: string;
};

const refusedClaims = {
	'in-progress': {kind: 'claim-in-progress', message: 'Got an idempotency key whose request is in progress, wanted its end'},
	unknown: {kind: 'outcome-unknown', message: 'Got an idempotency key whose request ended without a known outcome; it is not sent again'},
	'key-reused': {kind: 'key-reused', message: 'Got an idempotency key that was used with another request, wanted a new key'},
} as const satisfies Record<string, RefusedClaim>;

function takeClaimAnswer(change: RequestChange, {answer, retryAfterMilliseconds}: ClaimAnswered): void {
	if (answer === 'taken') {
		change.set({claim: 'taken'});
		openBill(change);
		return;
	}

	if (answer === 'no-quorum') {
		// The claim may yet be committed, so it is released.
		refuseRequest(change, failure('no-quorum', 'Got no quorum for the claim on the idempotency key', {retryAfterMilliseconds}));
		return;
	}

	change.set({claim: 'settled'});
	if (answer === 'done') {
		endRequest(change, {outcome: 'answered', last: {type: 'replay-answer'}});
		return;
	}

	const {kind, message} = refusedClaims[answer];
	endRequest(change, {
		outcome: 'failed',
		last: {type: 'refuse', failure: failure(kind, message, answer === 'in-progress' ? {retryAfterMilliseconds} : {}), partial: false},
	});
}
