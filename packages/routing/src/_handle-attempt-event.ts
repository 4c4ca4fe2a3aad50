import {type TokenUsage} from '@valehitch/core';
import {match} from 'ts-pattern';
import {settleBill, settleClaim} from './_end-request.js';
import {type RequestTransition} from './_request-transition.js';
import {
	abandonTarget, chooseServer, retryOrGiveUp, startAttempt, waitOrGiveUp,
} from './_start-attempt.js';
import {type AttemptEvent} from './request-event.js';
import {type AttemptState} from './request-state.js';

const defaultRetryAfterMilliseconds = 1000;
const maximumDenials = 16;

type EventOf<Type extends AttemptEvent['type']> = Extract<AttemptEvent, {readonly type: Type}>;
type AttemptWithEvent<Type extends AttemptEvent['type']> = {
	readonly attempt: AttemptState;
	readonly event: EventOf<Type>;
};

/**
Handles an event of an attempt. Events of attempts that have ended are ignored.

@param transition The transition in progress.
@param event The event.
*/
export function handleAttemptEvent(transition: RequestTransition, event: AttemptEvent): void {
	if (event.type === 'attempt-judged') {
		handleVerdict(transition, event);
		return;
	}

	const status = event.type === 'server-chosen' || event.type === 'no-server' ? 'choosing' : 'sent';
	const attempt = transition.findAttempt(event.attempt, status);
	if (attempt === undefined) {
		return;
	}

	// Most events are pieces, so they bypass the pattern match.
	if (event.type === 'attempt-piece') {
		handlePiece(transition, {attempt, event});
		return;
	}

	match(event)
		.with({type: 'server-chosen'}, chosen => {
			handleServerChosen(transition, {attempt, event: chosen});
		})
		.with({type: 'no-server'}, none => {
			handleNoServer(transition, {attempt, event: none});
		})
		.with({type: 'dispatch-denied'}, denied => {
			handleDispatchDenied(transition, {attempt, event: denied});
		})
		.with({type: 'attempt-never-sent'}, () => {
			handleNeverSent(transition, attempt);
		})
		.with({type: 'attempt-not-run'}, ({retryAfterMilliseconds}) => {
			handleNotRun(transition, {attempt, retryAfterMilliseconds: retryAfterMilliseconds ?? defaultRetryAfterMilliseconds});
		})
		.with({type: 'attempt-head'}, () => {
			transition.updateAttempt(attempt.number, {...runningOutcome(transition, attempt), stalled: false});
		})
		.with({type: 'attempt-complete'}, complete => {
			handleComplete(transition, {attempt, event: complete});
		})
		.with({type: 'attempt-failed'}, ({message, usage}) => {
			transition.updateAttempt(attempt.number, runningOutcome(transition, attempt));
			transition.update({reportedFailure: true});
			handleFailure(transition, {attempt, message, usage});
		})
		.with({type: 'attempt-broken'}, ({message, usage}) => {
			handleFailure(transition, {attempt, message, usage});
		})
		.with({type: 'attempt-connection-lost'}, ({message}) => {
			handleConnectionLost(transition, {attempt, message});
		})
		.with({type: 'attempt-silent'}, () => {
			handleStall(transition, attempt);
		})
		.exhaustive();
}

function handleServerChosen(transition: RequestTransition, {attempt, event: {server}}: AttemptWithEvent<'server-chosen'>): void {
	const {excludedServers, plan, stopping, freshConnection} = transition.state;
	if (transition.isTargetDisallowed) {
		transition.removeAttempt(attempt.number);
		abandonTarget(transition);
		return;
	}

	if (excludedServers.includes(server)) {
		// The budget was charged when the first server was requested.
		chooseServer(transition, {...attempt, budgeted: false});
		return;
	}

	const {number, target, purpose, resumeFrom} = attempt;
	transition.updateAttempt(number, {
		status: 'sent', outcome: 'unknown', server, lastProgressAt: transition.now,
	});
	transition.emit({
		type: 'dispatch', attempt: number, server, target, purpose, resumeFrom, freshConnection,
	});
	if (plan.hedge !== undefined && plan.repeatable && !stopping && !transition.state.hedged) {
		transition.emit({type: 'set-timer', timer: 'hedge', at: transition.now + plan.hedge.prefillMilliseconds});
	}
}

function handleNoServer(transition: RequestTransition, {attempt, event}: AttemptWithEvent<'no-server'>): void {
	transition.removeAttempt(attempt.number);
	if (transition.activeAttempts.length > 0) {
		return;
	}

	const {reason, retryAfterMilliseconds} = event;
	const options = {message: noServerMessages[reason], retryAfterMilliseconds};
	if (attempt.purpose === 'hedge') {
		retryOrGiveUp(transition, options);
		return;
	}

	waitOrGiveUp(transition, options);
}

const noServerMessages = {
	none: 'No server is available for the request',
	budget: 'The retry budget is exhausted',
} as const;

function handleDispatchDenied(transition: RequestTransition, {attempt, event: {reason}}: AttemptWithEvent<'dispatch-denied'>): void {
	transition.removeAttempt(attempt.number);
	if (reason !== 'server-draining' && reason !== 'server-gone') {
		transition.disallowTarget(attempt.target);
		abandonTarget(transition);
		return;
	}

	if (attempt.server !== undefined) {
		transition.excludeServer(attempt.server);
	}

	transition.update({dispatchDenials: transition.state.dispatchDenials + 1});
	if (transition.state.dispatchDenials > maximumDenials) {
		waitOrGiveUp(transition, {message: 'All chosen servers are shutting down or gone', retryAfterMilliseconds: defaultRetryAfterMilliseconds});
		return;
	}

	// The new attempt gets a number of its own, so that a late event of the denied attempt cannot match it. The budget was already charged.
	startAttempt(transition, attempt.purpose, {budgeted: false});
}

type NotRunAttempt = {
	readonly attempt: AttemptState;
	readonly retryAfterMilliseconds: number;
};

/**
Handles a connection that never opened. Nothing was sent, so the next attempt adds no load and is not charged to the budget: with an exhausted budget, a request would otherwise be refused because one server had just gone, though another one is free.
*/
function handleNeverSent(transition: RequestTransition, attempt: AttemptState): void {
	transition.updateAttempt(attempt.number, {status: 'ended', outcome: 'notRun', neverSent: true});
	transition.update({connectionFailures: transition.state.connectionFailures + 1});
	markServerTried(transition, attempt);
	retryOrGiveUp(transition, {
		message: 'No connection could be opened to any of the servers that were tried',
		retryAfterMilliseconds: defaultRetryAfterMilliseconds,
		budgeted: false,
		...(attempt.purpose === 'first' && {purpose: 'first'}),
	});
}

/**
Handles a reused connection that broke before the answer began, as happens when a server closes an idle connection while a request is being sent on it. The server remains eligible and the budget is not charged, since two such connections would otherwise fail a request though both servers are up. Further attempts open new connections, where this race cannot occur.
*/
function handleConnectionLost(transition: RequestTransition, {attempt, message}: FailedAttempt): void {
	transition.updateAttempt(attempt.number, {status: 'ended'});
	transition.update({freshConnection: true});
	retryOrGiveUp(transition, {
		message, retryAfterMilliseconds: defaultRetryAfterMilliseconds, purpose: attempt.purpose, budgeted: false,
	});
}

function handleNotRun(transition: RequestTransition, {attempt, retryAfterMilliseconds}: NotRunAttempt): void {
	if (attempt.outcome === 'ran') {
		handleFailure(transition, {attempt, message: 'The server reported that the request did not run after it had started to answer'});
		return;
	}

	transition.updateAttempt(attempt.number, {status: 'ended', outcome: 'notRun'});
	markServerTried(transition, attempt);
	retryOrGiveUp(transition, {message: 'No server ran the request', retryAfterMilliseconds});
}

function handlePiece(transition: RequestTransition, {attempt, event: {offset, length, tokens}}: AttemptWithEvent<'attempt-piece'>): void {
	const {number, received} = attempt;
	if (offset !== received) {
		cancelAndFail(transition, {attempt, message: `Received a piece of the answer at offset ${offset}, expected offset ${received}`});
		return;
	}

	const updated = runningOutcome(transition, attempt);
	transition.updateAttempt(number, {
		...updated,
		received: offset + length,
		lastProgressAt: transition.now,
		stalled: false,
		usage: {input: updated.usage.input, output: updated.usage.output + tokens},
	});
	if (transition.buffersAnswer) {
		transition.emit({type: 'hold-piece', attempt: number, offset});
		return;
	}

	transition.cancelOthers(number);
	transition.update({answeringAttempt: number, deliveredBytes: offset + length});
	transition.emitToCaller({type: 'forward-piece', attempt: number, offset});
}

function handleComplete(transition: RequestTransition, {attempt, event: {offset, usage}}: AttemptWithEvent<'attempt-complete'>): void {
	const {number, received} = attempt;
	if (offset !== received) {
		handleFailure(transition, {attempt, message: `The answer ended at offset ${offset}, expected offset ${received}`, usage});
		return;
	}

	transition.updateAttempt(number, {status: 'ended', outcome: 'ran', usage});
	transition.cancelOthers(number);
	transition.update({answeringAttempt: number});
	if (!transition.state.judged) {
		settleAnswer(transition);
		return;
	}

	transition.update({stage: 'judging'});
	transition.emit({type: 'judge-attempt', attempt: number});
}

function handleVerdict(transition: RequestTransition, event: EventOf<'attempt-judged'>): void {
	const {stage, answeringAttempt} = transition.state;
	if (stage !== 'judging' || event.attempt !== answeringAttempt) {
		return;
	}

	if (event.verdict === 'accepted') {
		settleAnswer(transition);
		return;
	}

	transition.emit({type: 'drop-held', attempt: event.attempt});
	transition.update({
		target: event.target, judged: event.judged, answeringAttempt: undefined,
	});
	startAttempt(transition, 'escalation');
}

function settleAnswer(transition: RequestTransition): void {
	transition.update({stage: 'settling'});
	settleBill(transition, 'answered');
	settleClaim(transition, 'done');
}

type FailedAttempt = {
	readonly attempt: AttemptState;
	readonly message: string;
	readonly usage?: TokenUsage | undefined;
};

function cancelAndFail(transition: RequestTransition, failed: FailedAttempt): void {
	transition.emit({type: 'cancel-attempt', attempt: failed.attempt.number});
	handleFailure(transition, failed);
}

/**
Handles a stalled attempt by requesting another server, as for a hedge. The connection stays open, since this attempt may be the only source of an answer once its server resumes.
*/
function handleStall(transition: RequestTransition, attempt: AttemptState): void {
	transition.updateAttempt(attempt.number, {stalled: true});
	markServerTried(transition, attempt);
	retryOrGiveUp(transition, {message: 'The server stopped sending data', retryAfterMilliseconds: defaultRetryAfterMilliseconds});
}

function handleFailure(transition: RequestTransition, {attempt, message, usage}: FailedAttempt): void {
	const {number, received, resumeFrom} = attempt;
	transition.updateAttempt(number, {status: 'ended', ...(usage !== undefined && {usage, outcome: 'ran'})});
	markServerTried(transition, attempt);
	if (transition.buffersAnswer && received > resumeFrom) {
		transition.emit({type: 'drop-held', attempt: number});
	}

	retryOrGiveUp(transition, {message, retryAfterMilliseconds: defaultRetryAfterMilliseconds});
}

function markServerTried(transition: RequestTransition, {server}: AttemptState): void {
	if (server !== undefined) {
		transition.update({triedServers: [...transition.state.triedServers, server]});
	}
}

/** An attempt that has started to answer counts as run, with the estimated prompt tokens as its input. */
function runningOutcome(transition: RequestTransition, {usage}: AttemptState): Pick<AttemptState, 'outcome' | 'usage'> {
	return {outcome: 'ran', usage: {input: transition.state.plan.promptTokens, output: usage.output}};
}
