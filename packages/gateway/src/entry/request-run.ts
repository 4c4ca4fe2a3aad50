import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure, failure, type ModelId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type Route} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {authorizeRequest, type AuthorizedRequest} from './authorize-request.js';
import {CallerAnswer, type WholeAnswer} from './caller-answer.js';
import {classifyAnswer} from './classify-answer.js';
import {collectBody} from './collect-body.js';
import {type EntryContext} from './entry-context.js';
import {EventStream} from './event-stream.js';
import {type AnswerHead, type GatewayRequest} from './gateway-request.js';
import {ModelSteps} from './model-steps.js';
import {Placement} from './placement.js';
import {relayStream} from './relay-stream.js';
import {type SendOutcome, type SentAttempt, sendAttempt} from './send-attempt.js';
import {ServerVerdicts} from './server-verdicts.js';

/** One request of a caller, authorized, with its body. */
export type RequestRunOptions = {
	readonly request: GatewayRequest;
	readonly body: Uint8Array;
	readonly response: ServerResponse;
	readonly authorized: AuthorizedRequest;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** What follows from one send. */
type Next = 'again' | 'ended';

/** A connection within a region opens in a few milliseconds; one that takes longer than this is not going to. */
const connectTimeoutMilliseconds = 400;
/** Connections that do not open use up no attempt, but a request does not go through all servers one by one. */
const maximumUnreachable = 4;
/** How many times the longest pause that is on time a stream may stall before it goes on elsewhere. */
const stallFactor = 1;
/** The time after which a place should be free again, for a request that no server took. */
const retryMilliseconds = 250;
/** A deadline is passed on shorter by the way back, in milliseconds. */
const wayBackMilliseconds = 5;
/** The highest number of an urgency that a server takes. */
const leastUrgent = 9;

/**
Carries one request through: chooses servers and models, sends, sends again where that is safe, and answers exactly once.

@example
```ts
await new RequestRun(context, {request, body, response, authorized, arrivedAt}).run();
```
*/
export class RequestRun {
	readonly #context: EntryContext;
	readonly #request: GatewayRequest;
	readonly #body: Uint8Array;
	readonly #response: ServerResponse;
	readonly #answer: CallerAnswer;
	readonly #placement: Placement;
	readonly #verdicts: ServerVerdicts;
	readonly #models: ModelSteps;
	readonly #arrivedAt: number;
	readonly #deadlineAt: number;
	readonly #events: EventStream;
	readonly #mayRepeat: boolean;
	readonly #authorized: AuthorizedRequest;
	#sends = 0;
	#unreachable = 0;
	#mayHaveRun = false;
	#isOver = false;
	#attempt: SentAttempt | undefined;
	#held: WholeAnswer | undefined;
	#server: ServerRecord | undefined;
	#lastProblem = 'none';

	constructor(context: EntryContext, {request, body, response, authorized, arrivedAt}: RequestRunOptions) {
		const {route} = authorized;
		this.#context = context;
		this.#request = request;
		this.#body = body;
		this.#response = response;
		this.#authorized = authorized;
		this.#arrivedAt = arrivedAt;
		this.#deadlineAt = arrivedAt + Math.min(request.patience ?? route.timeout, route.timeout);
		this.#events = new EventStream(request.lastEventId);
		this.#answer = new CallerAnswer(context, {
			request, response, kind: route.kind, arrivedAt,
		});
		this.#placement = new Placement(context, {request, route});
		this.#verdicts = new ServerVerdicts(context, {request: request.id, route: route.id});
		this.#mayRepeat = route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
		this.#models = new ModelSteps(context, {route, choosesModel: request.choosesModel});
	}

	/** Runs the request to its answer. */
	async run(): Promise<void> {
		const timer = setTimeout(() => {
			this.#expire();
		}, this.#deadlineAt - this.#now());
		const leave = (): void => {
			this.#leave();
		};

		this.#response.on('close', leave);
		this.#context.budget.deposit(this.#placement.service, this.#now());
		let next: Next = 'again';
		while (next === 'again' && !this.#isOver) {
			next = await this.#send();
		}

		clearTimeout(timer);
		this.#response.off('close', leave);
	}

	get #route(): Route {
		return this.#authorized.route;
	}

	#now(): number {
		return this.#context.clock.monotonic();
	}

	async #send(): Promise<Next> {
		const authorized = authorizeRequest(this.#request, {...this.#context, table: this.#context.table(), now: this.#now()});
		if (authorized.isLeft()) {
			return this.#giveUp(authorized.extract());
		}

		const server = this.#placement.choose(this.#models.current);
		if (server === undefined) {
			const message = `Got no server of ${this.#placement.service} that takes the request (${this.#lastProblem}), wanted one`;
			return this.#giveUp(failure('no-server', message, {retryAfterMilliseconds: retryMilliseconds}));
		}

		return this.#sendTo(server, authorized.unsafeCoerce());
	}

	async #sendTo(server: ServerRecord, authorized: AuthorizedRequest): Promise<Next> {
		const {dialect, servers, log, metrics} = this.#context;
		const sentAt = this.#now();
		const attempt = sendAttempt({
			server,
			method: this.#request.method,
			target: this.#request.target,
			headers: dialect.sendHeaders(this.#request, {
				server: server.id,
				model: this.#models.current,
				patience: Math.max(1, Math.floor(this.#deadlineAt - sentAt - wayBackMilliseconds)),
				workspace: authorized.workspace?.id,
				urgency: Math.min(leastUrgent, authorized.workspace?.priority ?? authorized.route.priority),
				lastEventId: this.#events.lastEventId,
				keepsConnection: this.#mayRepeat,
			}),
			body: this.#body,
			mayReuse: this.#mayRepeat,
			connectTimeout: connectTimeoutMilliseconds,
			headTimeout: this.#headTimeout(),
		});
		this.#attempt = attempt;
		this.#server = server;
		this.#sends++;
		const end = servers.begin(server.id, this.#models.work);
		log('request-dispatched', {
			request: this.#request.id,
			server: server.id,
			version: server.version,
			model: this.#models.current,
			send: this.#sends,
			age: Math.round(sentAt - this.#arrivedAt),
			resumeAfter: this.#events.lastEventId,
		});
		const outcome = await attempt.outcome;
		const next = await this.#takeOutcome(outcome, {server, sentAt});
		end();
		metrics.attempts.inc({result: outcome.type});
		return next;
	}

	async #takeOutcome(outcome: SendOutcome, sent: SentTo): Promise<Next> {
		const {server} = sent;
		if (this.#isOver) {
			return 'ended';
		}

		if (outcome.type === 'head') {
			return this.#takeHead(outcome, sent);
		}

		this.#lastProblem = outcome.type === 'unreachable' || outcome.type === 'lost' ? outcome.reason : outcome.type;
		this.#context.log('request-attempt-ended', {
			request: this.#request.id, server: server.id, result: outcome.type, reason: this.#lastProblem,
		}, 'warn');
		if (outcome.type === 'unreachable') {
			this.#sends--;
			this.#unreachable++;
			this.#placement.exclude(server.id);
			this.#verdicts.record(server, 'unreachable');
			return this.#unreachable < maximumUnreachable
				? 'again'
				: this.#giveUp(failure('no-server', `Got no connection to ${this.#unreachable} servers of ${this.#placement.service}`, {retryAfterMilliseconds: retryMilliseconds}));
		}

		this.#mayHaveRun = true;
		this.#verdicts.failed(server, this.#models.current);
		return this.#again(server, failure('outcome-unknown', `Got no answer of ${server.id} (${this.#lastProblem})`));
	}

	async #takeHead({message, isWhole}: ReceivedHead, sent: SentTo): Promise<Next> {
		const {server} = sent;
		const head = this.#context.dialect.readAnswer(message.statusCode ?? 0, message.headers);
		const answerClass = classifyAnswer(head, this.#request.id);
		this.#mayHaveRun ||= answerClass !== 'not-run';
		return match(answerClass)
			.with('other-request', 'foreign', async () => this.#takeForeign(message, head, server))
			.with('not-run', async () => this.#takeNotRun(message, head, server))
			.with('failed', async () => this.#takeFailedAnswer({message, isWhole}, head, server))
			.with('good', async () => this.#route.kind === 'streaming'
				? this.#takeStream({message, isWhole}, head, sent)
				: this.#takePlainAnswer({message, isWhole}, sent))
			.exhaustive();
	}

	/** An answer that is not this server's to this request: what it did with the request is not known. */
	#takeForeign(message: IncomingMessage, {requestId}: AnswerHead, server: ServerRecord): Next {
		message.destroy();
		this.#verdicts.failed(server, this.#models.current);
		return this.#again(server, failure('outcome-unknown', `Got an answer of ${server.id} to request ${requestId ?? 'without id'}, wanted a signed one to ${this.#request.id}`));
	}

	#takeNotRun(message: IncomingMessage, head: AnswerHead, server: ServerRecord): Next {
		message.resume();
		if (head.isOtherServer) {
			this.#verdicts.record(server, 'gone');
		}

		this.#context.log('request-attempt-ended', {
			request: this.#request.id, server: server.id, result: 'not-run', status: head.status, isOtherServer: head.isOtherServer,
		}, 'warn');
		this.#lastProblem = `${server.id} answered ${head.status}`;
		this.#placement.exclude(server.id);
		if (this.#maySendAgain()) {
			return 'again';
		}

		return this.#giveUp(failure('overloaded', `Got ${head.status} of ${server.id}, which did not run the request, and no send is left`, {retryAfterMilliseconds: retryMilliseconds}));
	}

	async #takeFailedAnswer({message, isWhole}: ReceivedHead, head: AnswerHead, server: ServerRecord): Promise<Next> {
		const headers = this.#context.dialect.answerHeaders(message);
		const body = await collectBody(message, isWhole);
		if (this.#isOver) {
			return 'ended';
		}

		if (head.status >= 500) {
			this.#verdicts.failed(server, this.#models.current);
		}

		const saysNotRun = head.status === 503 || head.status === 429 || head.status === 408 || head.status === 421;
		if (body === undefined || !head.isSigned || saysNotRun) {
			return this.#again(server, failure('backend-failed', `Got ${head.status} of ${server.id}, which cannot be passed on`));
		}

		this.#held = {status: head.status, headers, body};
		return head.status >= 500
			? this.#again(server, failure('backend-failed', `Got ${head.status} of ${server.id}`))
			: this.#passOn(this.#held);
	}

	async #takePlainAnswer({message, isWhole}: ReceivedHead, {server, sentAt}: SentTo): Promise<Next> {
		const headers = this.#context.dialect.answerHeaders(message);
		const status = message.statusCode ?? 0;
		const body = await collectBody(message, isWhole);
		if (this.#isOver) {
			return 'ended';
		}

		if (body === undefined) {
			this.#verdicts.failed(server, this.#models.current);
			return this.#again(server, failure('outcome-unknown', `Got a body of ${server.id} that ended early`));
		}

		this.#verdicts.answered(server, {model: this.#models.current, latency: this.#now() - sentAt});
		return this.#passOn({status, headers, body});
	}

	async #takeStream({message, isWhole}: ReceivedHead, head: AnswerHead, {server, sentAt}: SentTo): Promise<Next> {
		const latency = this.#now() - sentAt;
		const larger = this.#largerModel(head, latency);
		if (larger !== undefined) {
			message.destroy();
			this.#verdicts.answered(server, {model: this.#models.current, latency});
			this.#context.metrics.escalations.inc();
			this.#context.log('request-escalated', {
				request: this.#request.id, from: this.#models.current, to: larger, confidence: head.confidence, latency: Math.round(latency),
			});
			this.#models.take(larger);
			return 'again';
		}

		this.#placement.begin(server.version);
		const headers = this.#context.dialect.answerHeaders(message);
		const end = await relayStream({
			message,
			isWhole,
			response: this.#response,
			events: this.#events,
			stallTimeout: this.#mayRepeat ? stallFactor * (this.#route.targetGap ?? this.#route.targetLatency) : 0,
			onFirstEvent: () => {
				this.#answer.begin(message.statusCode ?? 0, headers);
			},
		});
		if (end === 'complete') {
			this.#verdicts.answered(server, {model: this.#models.current, latency});
			this.#answer.finish();
			return this.#ended('answered', {server: server.id, confidence: head.confidence});
		}

		if (this.#isOver || end === 'caller-left') {
			return 'ended';
		}

		this.#verdicts.failed(server, this.#models.current);
		this.#events.drop();
		this.#context.log('request-resumed', {
			request: this.#request.id, server: server.id, end, lastEvent: this.#events.lastEventId,
		}, 'warn');
		return this.#again(server, failure('outcome-unknown', `Got a stream of ${server.id} that is ${end}`));
	}

	/** Sends again where that is safe and something is left to send with, else answers. */
	#again(server: ServerRecord, failed: Failure): Next {
		this.#placement.exclude(server.id);
		this.#lastProblem = failed.message;
		if (this.#isOver) {
			return 'ended';
		}

		return this.#mayRepeat && this.#maySendAgain() ? 'again' : this.#giveUp(failed);
	}

	#maySendAgain(): boolean {
		return this.#sends < this.#route.maximumAttempts && this.#context.budget.withdraw(this.#placement.service, this.#now());
	}

	/** The model that should answer in place of the one that did, as long as the caller has nothing of the answer. */
	#largerModel({confidence}: AnswerHead, latency: number): ModelId | undefined {
		if (this.#answer.hasBegun || this.#events.lastEventId !== undefined) {
			return undefined;
		}

		const larger = this.#models.larger({confidence, latency, age: this.#now() - this.#arrivedAt});
		return larger !== undefined && this.#maySendAgain() ? larger : undefined;
	}

	#headTimeout(): number {
		const isLast = this.#sends + 1 >= this.#route.maximumAttempts;
		return this.#mayRepeat && !isLast ? this.#models.headTimeout : 0;
	}

	#passOn(held: WholeAnswer): Next {
		if (this.#isOver) {
			return 'ended';
		}

		this.#answer.passOn(held);
		return this.#ended('answered', {status: held.status});
	}

	/** Answers with a failed answer of a backend server, where there is one, else with the failure. */
	#giveUp(failed: Failure): Next {
		if (this.#isOver) {
			return 'ended';
		}

		if (this.#answer.hasBegun) {
			// An answer that ends early must not look complete.
			this.#answer.breakOff();
			return this.#ended('broken-off', {reason: failed.message});
		}

		if (this.#held !== undefined) {
			return this.#passOn(this.#held);
		}

		const isUnsure = this.#mayHaveRun && !this.#mayRepeat;
		this.#answer.refuse(isUnsure && failed.kind !== 'deadline-exceeded-after-dispatch' ? failure('outcome-unknown', failed.message) : failed);
		return this.#ended('refused', {error: failed.kind, reason: failed.message, mayHaveRun: this.#mayHaveRun});
	}

	#expire(): void {
		if (this.#isOver) {
			return;
		}

		this.#attempt?.cancel();
		if (this.#server !== undefined) {
			// A server that hangs shows in no other way where its requests may not be repeated.
			this.#verdicts.failed(this.#server, this.#models.current);
		}

		const waited = Math.round(this.#now() - this.#arrivedAt);
		this.#giveUp(this.#sends === 0
			? failure('no-server', `Got no server within ${waited} ms`, {retryAfterMilliseconds: retryMilliseconds})
			: failure('deadline-exceeded-after-dispatch', `Got no answer within ${waited} ms (${this.#lastProblem})`));
	}

	#leave(): void {
		if (!this.#isOver && this.#answer.isAbandoned) {
			this.#attempt?.cancel();
			this.#ended('caller-left', {});
		}
	}

	#ended(outcome: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): Next {
		if (this.#isOver) {
			return 'ended';
		}

		this.#isOver = true;
		const milliseconds = this.#now() - this.#arrivedAt;
		const {metrics, log} = this.#context;
		metrics.requests.inc({kind: this.#route.kind, outcome});
		metrics.duration.observe({kind: this.#route.kind}, milliseconds / 1000);
		log('request-ended', {
			request: this.#request.id, route: this.#route.id, service: this.#placement.service, outcome, model: this.#models.current, sends: this.#sends, duration: Math.round(milliseconds), ...fields,
		}, outcome === 'answered' ? 'info' : 'warn');
		return 'ended';
	}
}

/** The head of an answer, and whether its body is complete once it ended. */
type ReceivedHead = Omit<Extract<SendOutcome, {type: 'head'}>, 'type'>;

type SentTo = {
	readonly server: ServerRecord;
	/** Milliseconds on the monotonic clock. */
	readonly sentAt: number;
};
