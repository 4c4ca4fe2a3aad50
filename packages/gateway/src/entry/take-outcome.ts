import {type IncomingMessage} from 'node:http';
import {type Failure, failure, type ModelId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type Route} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type CallerAnswer, type WholeAnswer} from './caller-answer.js';
import {classifyAnswer} from './classify-answer.js';
import {collectBody} from './collect-body.js';
import {type EntryContext} from './entry-context.js';
import {type EventStream} from './event-stream.js';
import {type AnswerHead, type GatewayRequest} from './gateway-request.js';
import {type ModelSteps} from './model-steps.js';
import {relayStream} from './relay-stream.js';
import {type RequestSuspicion} from './request-suspicion.js';
import {type ReceivedHead, type SendOutcome} from './send-attempt.js';
import {type SpareStream} from './spare-answer.js';
import {type ServerVerdicts} from './server-verdicts.js';

/** What one send came to for its request, and what follows. */
export type OutcomeStep
	/** The request ended meanwhile. */
	= | {readonly type: 'over'}
	/** No connection opened: the request did not run there. */
		| {readonly type: 'unreachable'}
	/** A kept connection ended without an answer: the request may have run, and the server need not be at fault. */
		| {readonly type: 'connection-lost'; readonly failed: Failure}
	/** The server says that it did not run the request. */
		| {readonly type: 'not-run'; readonly failed: Failure}
	/** The request may have run; with the failed answer where it can be passed on. */
		| {readonly type: 'failed'; readonly failed: Failure; readonly answer?: WholeAnswer}
	/** A whole answer to pass on. */
		| {readonly type: 'whole'; readonly answer: WholeAnswer}
	/** A larger model should answer instead. */
		| {readonly type: 'escalated'; readonly model: ModelId; readonly spare: SpareStream}
	/** All of the stream was passed on. */
		| {readonly type: 'streamed'; readonly confidence: number | undefined};

/** What the outcome of a send concerns. */
export type TakeOutcomeOptions = {
	readonly context: EntryContext;
	readonly request: GatewayRequest;
	/** What is known of the request from its other arrivals. */
	readonly suspicion: RequestSuspicion;
	readonly route: Route;
	readonly models: ModelSteps;
	readonly verdicts: ServerVerdicts;
	readonly answer: CallerAnswer;
	readonly events: EventStream;
	/** The server, and when the request was sent to it in milliseconds on the monotonic clock. */
	readonly server: ServerRecord;
	readonly sentAt: number;
	/** Whether the request ended meanwhile. */
	readonly isOver: () => boolean;
	/** Called once a stream of this server is taken, before its first event is passed on. */
	readonly onStream: () => void;
	/** Whether a stream of this server that stalls can go on at another one. */
	readonly canGoOnElsewhere: () => boolean;
	/** The model that should answer in place of the one that did; undefined where the answer will do or no send is left. */
	readonly chooseLarger: (head: AnswerHead, latency: number) => ModelId | undefined;
};

/** How many times the longest pause that is on time a stream may stall before it goes on elsewhere. */
const stallFactor = 1;
const firstServerError = 500;
/** With these a server would promise that a request has not run, which it did not say otherwise. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
Takes the outcome of one send: reads the answer, passes a stream on, and notes what it says of the server.

@param outcome What the send came to.
@param options What it concerns.
@returns What follows for the request.
@example
```ts
const step = await takeOutcome(await attempt.outcome, options);
```
*/
export async function takeOutcome(outcome: SendOutcome, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	const {context, request, suspicion, verdicts, server, isOver} = options;
	if (isOver()) {
		return {type: 'over'};
	}

	if (outcome.type === 'head') {
		return takeHead(outcome, options);
	}

	const reason = reasonOf(outcome);
	context.log('request-attempt-ended', {
		request: request.id, fingerprint: suspicion.fingerprint, server: server.id, startedAt: server.startedAt, result: outcome.type, reason,
	}, 'warn');
	if (outcome.type === 'unreachable') {
		verdicts.record(server, 'unreachable');
		return {type: 'unreachable'};
	}

	const message = `Got no answer of ${server.id} (${reason})`;
	if (outcome.type === 'kept-connection-lost') {
		// Where the process goes on, it dropped an idle connection, which is no fault.
		const finding = await suspicion.noteLoss(server);
		if (finding !== 'runs') {
			verdicts.lost(server, {model: options.models.current, finding});
		}

		return {type: 'connection-lost', failed: failure('outcome-unknown', message)};
	}

	if (outcome.type === 'lost') {
		return takeLoss(message, options);
	}

	// A send that was cancelled for the quarantine of its request says nothing of the server.
	if (outcome.type !== 'cancelled' || suspicion.standing !== 'quarantined') {
		verdicts.failed(server, options.models.current);
	}

	return unknownOutcome(message);
}

/** A connection that broke while the server had the request. */
async function takeLoss(message: string, {suspicion, verdicts, models, server}: TakeOutcomeOptions): Promise<OutcomeStep> {
	const finding = await suspicion.noteLoss(server);
	verdicts.lost(server, {model: models.current, finding});
	return unknownOutcome(message);
}

async function takeHead(received: ReceivedHead, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	const {context: {dialect, servers, clock}, request, route, server} = options;
	const {message} = received;
	servers.hear(server.id, clock.monotonic());
	const head = dialect.readAnswer(message.statusCode ?? 0, message.headers);
	return match(classifyAnswer(head, request.id))
		.with('other-request', 'foreign', () => takeForeign(message, head, options))
		.with('not-run', () => takeNotRun(message, head, options))
		.with('failed', async () => takeFailedAnswer(received, head, options))
		.with('good', async () => route.kind === 'streaming' ? takeStream(received, head, options) : takePlainAnswer(received, options))
		.exhaustive();
}

/** An answer that is not this server's to this request: what it did with the request is not known. */
function takeForeign(message: IncomingMessage, {requestId}: AnswerHead, {request, verdicts, models, server}: TakeOutcomeOptions): OutcomeStep {
	message.destroy();
	verdicts.failed(server, models.current);
	return unknownOutcome(`Got an answer of ${server.id} to request ${requestId ?? 'without id'}, wanted a signed one to ${request.id}`);
}

function takeNotRun(message: IncomingMessage, {status, isOtherServer}: AnswerHead, {context, request, verdicts, server}: TakeOutcomeOptions): OutcomeStep {
	message.resume();
	if (isOtherServer) {
		verdicts.record(server, 'gone');
	}

	context.log('request-attempt-ended', {
		request: request.id, server: server.id, result: 'not-run', status, isOtherServer,
	}, 'warn');
	return {type: 'not-run', failed: failure('overloaded', `${server.id} answered ${status} without running the request`)};
}

async function takeFailedAnswer({message, isWhole}: ReceivedHead, {status, isSigned}: AnswerHead, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	const {context: {dialect}, suspicion, verdicts, models, server, isOver} = options;
	const headers = dialect.answerHeaders(message);
	const body = await collectBody(message, isWhole);
	if (isOver()) {
		return {type: 'over'};
	}

	if (body === undefined) {
		verdicts.lost(server, {model: models.current, finding: await suspicion.noteLoss(server)});
	} else if (status >= firstServerError) {
		verdicts.failed(server, models.current);
	}

	if (body === undefined || !isSigned || notRunStatuses.has(status)) {
		return {type: 'failed', failed: failure('backend-failed', `Got ${status} of ${server.id}, which cannot be passed on`)};
	}

	const answer = {status, headers, body};
	return status >= firstServerError
		? {type: 'failed', failed: failure('backend-failed', `Got ${status} of ${server.id}`), answer}
		: {type: 'whole', answer};
}

async function takePlainAnswer({message, isWhole}: ReceivedHead, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	const {context: {dialect, clock}, suspicion, verdicts, models, server, sentAt, isOver} = options;
	const headers = dialect.answerHeaders(message);
	const status = message.statusCode ?? 0;
	const body = await collectBody(message, isWhole);
	if (isOver()) {
		return {type: 'over'};
	}

	if (body === undefined) {
		return takeLoss(`Got a body of ${server.id} that ended early`, options);
	}

	suspicion.noteAnswered();
	verdicts.answered(server, {model: models.current, latency: clock.monotonic() - sentAt});
	return {type: 'whole', answer: {status, headers, body}};
}

async function takeStream(received: ReceivedHead, head: AnswerHead, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	const {context, request, suspicion, verdicts, models, server, sentAt, chooseLarger} = options;
	const latency = context.clock.monotonic() - sentAt;
	const larger = chooseLarger(head, latency);
	if (larger === undefined) {
		return passStream(received, {...options, head, latency});
	}

	// Nobody reads it as long as a better one may come, but its server may end meanwhile.
	received.message.on('error', () => {
		void suspicion.noteLoss(server);
	});
	verdicts.answered(server, {model: models.current, latency});
	context.metrics.escalations.inc();
	context.log('request-escalated', {
		request: request.id, from: models.current, to: larger, confidence: head.confidence, latency: Math.round(latency),
	});
	return {
		type: 'escalated', model: larger, spare: {
			server, model: models.current, received, head, latency,
		},
	};
}

/**
Passes on a stream that was kept, since no better one has begun.

@param spare The stream.
@param options What it concerns.
@returns What follows for the request.
@example
```ts
const step = await passSpare(spare, options);
```
*/
export async function passSpare({received, head, latency}: SpareStream, options: TakeOutcomeOptions): Promise<OutcomeStep> {
	return passStream(received, {...options, head, latency});
}

async function passStream({message, isWhole}: ReceivedHead, options: TakeOutcomeOptions & {readonly head: AnswerHead; readonly latency: number}): Promise<OutcomeStep> {
	const {context, request, suspicion, route, verdicts, models, answer, events, server, isOver, onStream, canGoOnElsewhere, head, latency} = options;
	onStream();
	const headers = context.dialect.answerHeaders(message);
	const end = await relayStream({
		message,
		isWhole,
		response: answer.response,
		events,
		stallTimeout: route.isResumable ? stallFactor * (route.targetGap ?? route.targetLatency) : 0,
		canGoOnElsewhere,
		onHeard() {
			context.servers.hear(server.id, context.clock.monotonic());
		},
		onFirstEvent() {
			answer.begin(message.statusCode ?? 0, headers);
		},
	});
	if (end === 'complete') {
		// A caller that resumes after the last event gets no further one, but the head of the server's answer.
		answer.begin(message.statusCode ?? 0, headers);
		suspicion.noteAnswered();
		verdicts.answered(server, {model: models.current, latency});
		return {type: 'streamed', confidence: head.confidence};
	}

	if (isOver() || end === 'caller-left') {
		return {type: 'over'};
	}

	events.drop();
	context.log('request-resumed', {
		request: request.id, fingerprint: suspicion.fingerprint, server: server.id, startedAt: server.startedAt, end, lastEvent: events.lastEventId,
	}, 'warn');
	const reason = `Got a stream of ${server.id} that is ${end}`;
	if (end === 'broken') {
		return takeLoss(reason, options);
	}

	verdicts.failed(server, models.current);
	return unknownOutcome(reason);
}

function unknownOutcome(message: string): OutcomeStep {
	return {type: 'failed', failed: failure('outcome-unknown', message)};
}

function reasonOf(outcome: Exclude<SendOutcome, {type: 'head'}>): string {
	return 'reason' in outcome ? outcome.reason : outcome.type;
}
