import {type TokenUsage} from '@valehitch/core';
import {match} from 'ts-pattern';
import {settleBill, settleClaim} from './_end-request.js';
import {type RequestChange} from './_request-change.js';
import {
	chooseServer, startAttempt, stopForPermission, tryAgain, waitOrGiveUp,
} from './_start-attempt.js';
import {type AttemptEvent} from './request-event.js';
import {type AttemptState} from './request-state.js';

const defaultRetryAfterMilliseconds = 1000;
const maximumDenials = 16;

type EventOf<Type extends AttemptEvent['type']> = Extract<AttemptEvent, {readonly type: Type}>;
type AttemptTaken<Type extends AttemptEvent['type']> = {
	readonly attempt: AttemptState;
	readonly event: EventOf<Type>;
};

/**
Takes an event of an attempt; one of an attempt that is over changes nothing.

@param change The step.
@param event The event.
*/
export function takeAttemptEvent(change: RequestChange, event: AttemptEvent): void {
	if (event.type === 'attempt-judged') {
		takeVerdict(change, event);
		return;
	}

	const status = event.type === 'server-chosen' || event.type === 'no-server' ? 'choosing' : 'sent';
	const attempt = change.attemptAt(event.attempt, status);
	if (attempt === undefined) {
		return;
	}

	// Most events are pieces, so they do not go through the list.
	if (event.type === 'attempt-piece') {
		takePiece(change, {attempt, event});
		return;
	}

	match(event)
		.with({type: 'server-chosen'}, chosen => {
			takeServer(change, {attempt, event: chosen});
		})
		.with({type: 'no-server'}, none => {
			takeNoServer(change, {attempt, event: none});
		})
		.with({type: 'dispatch-denied'}, denied => {
			takeDenial(change, {attempt, event: denied});
		})
		.with({type: 'attempt-never-sent'}, () => {
			takeNeverSent(change, attempt);
		})
		.with({type: 'attempt-not-run'}, ({retryAfterMilliseconds}) => {
			takeNotRun(change, {attempt, retryAfterMilliseconds: retryAfterMilliseconds ?? defaultRetryAfterMilliseconds});
		})
		.with({type: 'attempt-head'}, () => {
			change.setAttempt(attempt.number, {...ranSoFar(change, attempt), silent: false});
		})
		.with({type: 'attempt-complete'}, complete => {
			takeComplete(change, {attempt, event: complete});
		})
		.with({type: 'attempt-failed'}, ({message, usage}) => {
			change.setAttempt(attempt.number, ranSoFar(change, attempt));
			change.set({reportedFailure: true});
			takeFailure(change, {attempt, message, usage});
		})
		.with({type: 'attempt-broken'}, ({message, usage}) => {
			takeFailure(change, {attempt, message, usage});
		})
		.with({type: 'attempt-connection-lost'}, ({message}) => {
			takeConnectionLoss(change, {attempt, message});
		})
		.with({type: 'attempt-silent'}, () => {
			takeSilence(change, attempt);
		})
		.exhaustive();
}

function takeServer(change: RequestChange, {attempt, event: {server}}: AttemptTaken<'server-chosen'>): void {
	const {draining, plan, stopping, freshConnection} = change.state;
	if (change.permissionLost) {
		change.removeAttempt(attempt.number);
		stopForPermission(change);
		return;
	}

	if (draining.includes(server)) {
		// Its budget is drawn already.
		chooseServer(change, {...attempt, budgeted: false});
		return;
	}

	const {number, target, purpose, resumeFrom} = attempt;
	change.setAttempt(number, {
		status: 'sent', outcome: 'unknown', server, progressAt: change.now,
	});
	change.act({
		type: 'dispatch', attempt: number, server, target, purpose, resumeFrom, freshConnection,
	});
	if (plan.hedge !== undefined && plan.repeatable && !stopping && !change.state.hedged) {
		change.act({type: 'set-timer', timer: 'hedge', at: change.now + plan.hedge.prefillMilliseconds});
	}
}

function takeNoServer(change: RequestChange, {attempt, event}: AttemptTaken<'no-server'>): void {
	change.removeAttempt(attempt.number);
	if (change.active.length > 0) {
		return;
	}

	const {reason, retryAfterMilliseconds} = event;
	const options = {message: noServerMessages[reason], retryAfterMilliseconds};
	if (attempt.purpose === 'hedge') {
		tryAgain(change, options);
		return;
	}

	waitOrGiveUp(change, options);
}

const noServerMessages = {
	none: 'Got no server that can take the request',
	budget: 'Got no further attempt from the budget of retries',
} as const;

function takeDenial(change: RequestChange, {attempt, event: {reason}}: AttemptTaken<'dispatch-denied'>): void {
	change.removeAttempt(attempt.number);
	if (reason !== 'server-draining' && reason !== 'server-gone') {
		change.lose(attempt.target);
		stopForPermission(change);
		return;
	}

	if (attempt.server !== undefined) {
		change.avoid(attempt.server);
	}

	change.set({denials: change.state.denials + 1});
	if (change.state.denials > maximumDenials) {
		waitOrGiveUp(change, {message: 'Got only servers that are shutting down', retryAfterMilliseconds: defaultRetryAfterMilliseconds});
		return;
	}

	// A new number, so that a late word on the denied attempt cannot be taken for one on the next; its budget is drawn already.
	startAttempt(change, attempt.purpose, {budgeted: false});
}

type NotRun = {
	readonly attempt: AttemptState;
	readonly retryAfterMilliseconds: number;
};

/** Nothing was sent, so that the next attempt costs no server more than this one and draws on no budget again: with an empty one, a caller would be refused for a server that had just ended while another one is free. */
function takeNeverSent(change: RequestChange, attempt: AttemptState): void {
	change.setAttempt(attempt.number, {status: 'over', outcome: 'notRun', unsent: true});
	change.set({unreachable: change.state.unreachable + 1});
	passOver(change, attempt);
	tryAgain(change, {
		message: 'Got no connection to any server that was tried',
		retryAfterMilliseconds: defaultRetryAfterMilliseconds,
		budgeted: false,
		...(attempt.purpose === 'first' && {purpose: 'first'}),
	});
}

/** A server may close an idle connection while a request goes out on it. The server stays in the choice and no budget is asked, since two such connections would else lose a request though both servers are up; over a connection of its own this cannot happen again. */
function takeConnectionLoss(change: RequestChange, {attempt, message}: Failed): void {
	change.setAttempt(attempt.number, {status: 'over'});
	change.set({freshConnection: true});
	tryAgain(change, {
		message, retryAfterMilliseconds: defaultRetryAfterMilliseconds, purpose: attempt.purpose, budgeted: false,
	});
}

function takeNotRun(change: RequestChange, {attempt, retryAfterMilliseconds}: NotRun): void {
	if (attempt.outcome === 'ran') {
		takeFailure(change, {attempt, message: 'Got the word that the request did not run from a server that had begun its answer'});
		return;
	}

	change.setAttempt(attempt.number, {status: 'over', outcome: 'notRun'});
	passOver(change, attempt);
	tryAgain(change, {message: 'Got only servers that did not run the request', retryAfterMilliseconds});
}

function takePiece(change: RequestChange, {attempt, event: {offset, length, tokens}}: AttemptTaken<'attempt-piece'>): void {
	const {number, received} = attempt;
	if (offset !== received) {
		cancelAndFail(change, {attempt, message: `Got a piece of the answer at offset ${offset}, wanted ${received}`});
		return;
	}

	const ran = ranSoFar(change, attempt);
	change.setAttempt(number, {
		...ran,
		received: offset + length,
		progressAt: change.now,
		silent: false,
		usage: {input: ran.usage.input, output: ran.usage.output + tokens},
	});
	if (change.holds) {
		change.act({type: 'hold-piece', attempt: number, offset});
		return;
	}

	change.cancelOthers(number);
	change.set({leader: number, delivered: offset + length});
	change.tell({type: 'forward-piece', attempt: number, offset});
}

function takeComplete(change: RequestChange, {attempt, event: {offset, usage}}: AttemptTaken<'attempt-complete'>): void {
	const {number, received} = attempt;
	if (offset !== received) {
		takeFailure(change, {attempt, message: `Got the end of the answer at offset ${offset}, wanted ${received}`, usage});
		return;
	}

	change.setAttempt(number, {status: 'over', outcome: 'ran', usage});
	change.cancelOthers(number);
	change.set({leader: number});
	if (!change.state.judged) {
		settle(change);
		return;
	}

	change.set({stage: 'judging'});
	change.act({type: 'judge-attempt', attempt: number});
}

function takeVerdict(change: RequestChange, event: EventOf<'attempt-judged'>): void {
	const {stage, leader} = change.state;
	if (stage !== 'judging' || event.attempt !== leader) {
		return;
	}

	if (event.verdict === 'accepted') {
		settle(change);
		return;
	}

	change.act({type: 'drop-held', attempt: event.attempt});
	change.set({
		target: event.target, judged: event.judged, leader: undefined,
	});
	startAttempt(change, 'escalation');
}

function settle(change: RequestChange): void {
	change.set({stage: 'settling'});
	settleBill(change, 'answered');
	settleClaim(change, 'done');
}

type Failed = {
	readonly attempt: AttemptState;
	readonly message: string;
	readonly usage?: TokenUsage | undefined;
};

function cancelAndFail(change: RequestChange, failed: Failed): void {
	change.act({type: 'cancel-attempt', attempt: failed.attempt.number});
	takeFailure(change, failed);
}

/** Another server is looked for, as for a hedge; the connection is kept, since this attempt may be the only source of an answer once its server goes on. */
function takeSilence(change: RequestChange, attempt: AttemptState): void {
	change.setAttempt(attempt.number, {silent: true});
	passOver(change, attempt);
	tryAgain(change, {message: 'Got nothing from the server for too long', retryAfterMilliseconds: defaultRetryAfterMilliseconds});
}

function takeFailure(change: RequestChange, {attempt, message, usage}: Failed): void {
	const {number, received, resumeFrom} = attempt;
	change.setAttempt(number, {status: 'over', ...(usage !== undefined && {usage, outcome: 'ran'})});
	passOver(change, attempt);
	if (change.holds && received > resumeFrom) {
		change.act({type: 'drop-held', attempt: number});
	}

	tryAgain(change, {message, retryAfterMilliseconds: defaultRetryAfterMilliseconds});
}

function passOver(change: RequestChange, {server}: AttemptState): void {
	if (server !== undefined) {
		change.set({tried: [...change.state.tried, server]});
	}
}

function ranSoFar(change: RequestChange, {usage}: AttemptState): Pick<AttemptState, 'outcome' | 'usage'> {
	return {outcome: 'ran', usage: {input: change.state.plan.promptTokens, output: usage.output}};
}
