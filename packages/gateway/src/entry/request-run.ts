import {type Failure, failure, type ModelId} from '@valehitch/core';
import {timeoutAfterInput} from '@valehitch/transport';
import {match} from 'ts-pattern';
import {type ServerRecord} from '../servers/server-record.js';
import {authorizeRequest, type AuthorizedRequest} from './authorize-request.js';
import {awaitFirstServer} from './await-first-server.js';
import {CallerAnswer} from './caller-answer.js';
import {type EntryContext} from './entry-context.js';
import {endExpired} from './end-expired.js';
import {EventStream} from './event-stream.js';
import {type AnswerHead, type GatewayRequest} from './gateway-request.js';
import {ModelSteps} from './model-steps.js';
import {Placement} from './placement.js';
import {type Next, RequestEnd} from './request-end.js';
import {type RequestRunOptions, type SentTo} from './request-run-options.js';
import {RequestSuspicion} from './request-suspicion.js';
import {SendAllowance} from './send-allowance.js';
import {type SentAttempt} from './send-attempt.js';
import {ServerVerdicts} from './server-verdicts.js';
import {SpareAnswer} from './spare-answer.js';
import {startSend} from './start-send.js';
import {
	type OutcomeStep, passSpare, takeOutcome, type TakeOutcomeOptions,
} from './take-outcome.js';

/** The time after which a place should be free again, for a request that no server took. */
const retryMilliseconds = 250;

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
	readonly #answer: CallerAnswer;
	readonly #placement: Placement;
	readonly #verdicts: ServerVerdicts;
	readonly #models: ModelSteps;
	readonly #arrivedAt: number;
	readonly #deadlineAt: number;
	readonly #events: EventStream;
	readonly #allowance: SendAllowance;
	readonly #authorized: AuthorizedRequest;
	readonly #end: RequestEnd;
	readonly #spare: SpareAnswer;
	readonly #suspicion: RequestSuspicion;
	/** The send in progress, or the last one. */
	#sent: {readonly attempt: SentAttempt; readonly server: ServerRecord} | undefined;

	constructor(context: EntryContext, {request, body, response, authorized, arrivedAt}: RequestRunOptions) {
		const {route} = authorized;
		this.#context = context;
		this.#request = request;
		this.#body = body;
		this.#authorized = authorized;
		this.#arrivedAt = arrivedAt;
		this.#deadlineAt = arrivedAt + Math.min(request.patience ?? route.timeout, route.timeout);
		this.#events = new EventStream(request.lastEventId);
		this.#answer = new CallerAnswer(context, {
			request, response, kind: route.kind, arrivedAt,
		});
		this.#placement = new Placement(context, {request, route, bytes: body.byteLength});
		this.#verdicts = new ServerVerdicts(context, {request: request.id, route: route.id});
		this.#allowance = new SendAllowance({...context, route, service: this.#placement.service});
		this.#models = new ModelSteps(context, {route, choosesModel: request.choosesModel, tokens: request.inputTokens});
		this.#end = new RequestEnd(context, {
			request: request.id, route, service: this.#placement.service, arrivedAt, answer: this.#answer, allowance: this.#allowance, models: this.#models,
		});
		this.#suspicion = new RequestSuspicion(context.suspects, {...request, workspace: authorized.workspace?.id, body});
		this.#spare = new SpareAnswer({
			clock: context.clock,
			deadlineAt: this.#deadlineAt,
			onDue: () => {
				this.#sent?.attempt.cancel();
			},
		});
	}

	/** Runs the request to its answer. */
	async run(): Promise<void> {
		const stopTimeout = timeoutAfterInput(this.#deadlineAt - this.#now(), () => {
			endExpired(this.#end, {
				sent: this.#sent,
				verdicts: this.#verdicts,
				model: this.#models.current,
				waited: this.#now() - this.#arrivedAt,
				retryAfter: retryMilliseconds,
			});
		});
		const leave = (): void => {
			this.#leave();
		};

		const stopListening = this.#suspicion.onQuarantine(() => {
			this.#cancelUnanswered();
		});
		this.#answer.response.on('close', leave);
		this.#context.budget.deposit(this.#placement.service, this.#now());
		let next: Next = 'again';
		while (next === 'again' && !this.#end.isOver) {
			next = await this.#send();
		}

		stopTimeout();
		stopListening();
		this.#spare.drop();
		this.#answer.response.off('close', leave);
	}

	#now(): number {
		return this.#context.clock.monotonic();
	}

	async #send(): Promise<Next> {
		const {standing} = this.#suspicion;
		if (standing === 'quarantined') {
			return this.#giveUp(this.#suspicion.refusal);
		}

		if (this.#spare.isDue) {
			return this.#giveUp(failure('deadline-exceeded-after-dispatch', `Got no better answer in time (${this.#end.lastProblem})`));
		}

		const authorized = authorizeRequest(this.#request, {...this.#context, table: this.#context.table(), now: this.#now()});
		if (authorized.isLeft()) {
			return this.#end.giveUp(authorized.extract());
		}

		const server = this.#placement.choose(this.#models.current, {isSuspect: standing !== 'unknown'});
		if (server !== undefined) {
			return this.#sendTo(server, authorized.unsafeCoerce());
		}

		if (await awaitFirstServer(this.#context, {allowance: this.#allowance, arrivedAt: this.#arrivedAt, deadlineAt: this.#deadlineAt})) {
			return 'again';
		}

		const message = `Got no server of ${this.#placement.service} that takes the request (${this.#end.lastProblem}), wanted one`;
		return this.#giveUp(failure('no-server', message, {retryAfterMilliseconds: retryMilliseconds}));
	}

	async #sendTo(server: ServerRecord, authorized: AuthorizedRequest): Promise<Next> {
		const sentAt = this.#now();
		const load = this.#context.servers.begin(server.id, this.#models.work);
		const attempt = startSend(this.#context, {
			request: this.#request,
			body: this.#body,
			server,
			authorized,
			models: this.#models,
			allowance: this.#allowance,
			arrivedAt: this.#arrivedAt,
			deadlineAt: this.#deadlineAt,
			lastEventId: this.#events.lastEventId,
			processEnd: load.processEnd,
		});
		this.#sent = {attempt, server};
		const outcome = await attempt.outcome;
		const step = await takeOutcome(outcome, this.#outcomeOptions({server, sentAt, load}));
		const next = await this.#follow(step, server);
		load.end();
		this.#context.metrics.attempts.inc({result: outcome.type});
		return next;
	}

	#outcomeOptions({server, sentAt, load}: SentTo): TakeOutcomeOptions {
		return {
			context: this.#context,
			request: this.#request,
			suspicion: this.#suspicion,
			route: this.#authorized.route,
			models: this.#models,
			verdicts: this.#verdicts,
			answer: this.#answer,
			events: this.#events,
			server,
			sentAt,
			isOver: () => this.#end.isOver,
			onStream: () => {
				load?.answerBegins();
				this.#spare.drop();
				this.#placement.begin(server.version);
			},
			canGoOnElsewhere: () => this.#allowance.hasFurther && this.#placement.hasAnother(server),
			chooseLarger: (head, latency) => this.#largerModel(head, latency),
		};
	}

	/** What follows from one send; whether the request is sent again. */
	async #follow(step: OutcomeStep, server: ServerRecord): Promise<Next> {
		if (this.#end.isOver) {
			return 'ended';
		}

		return match(step)
			.with({type: 'over'}, async (): Promise<Next> => 'ended')
			.with({type: 'unreachable'}, async () => this.#followUnreachable(server))
			.with({type: 'not-run'}, async ({failed}) => this.#followNotRun(server, failed))
			.with({type: 'connection-lost'}, async ({failed}) => {
				this.#end.noteRun();
				return this.#again(failed);
			})
			.with({type: 'failed'}, async ({failed, answer}) => {
				this.#end.noteRun();
				this.#end.hold(answer);
				this.#placement.exclude(server);
				return this.#again(failed);
			})
			.with({type: 'whole'}, async ({answer}) => this.#end.passOn(answer))
			.with({type: 'escalated'}, async ({model, spare}): Promise<Next> => {
				this.#end.noteRun();
				this.#spare.keep(spare);
				this.#models.take(model);
				return 'again';
			})
			.with({type: 'streamed'}, async ({confidence}) => {
				this.#answer.finish();
				return this.#end.end('answered', {server: server.id, confidence});
			})
			.exhaustive();
	}

	/** A connection that did not open uses up no send. */
	async #followUnreachable(server: ServerRecord): Promise<Next> {
		this.#end.lastProblem = `${server.id} is unreachable`;
		this.#placement.exclude(server);
		return this.#allowance.takeBack()
			? 'again'
			: this.#giveUp(failure('no-server', `Got no connection to ${this.#allowance.unreachable} servers of ${this.#placement.service}`, {retryAfterMilliseconds: retryMilliseconds}));
	}

	async #followNotRun(server: ServerRecord, {message}: Failure): Promise<Next> {
		this.#end.lastProblem = message;
		this.#placement.exclude(server);
		return this.#allowance.takeFurther()
			? 'again'
			: this.#giveUp(failure('overloaded', `${message}, and no send is left`, {retryAfterMilliseconds: retryMilliseconds}));
	}

	/** Sends again where that is safe and something is left to send with, else answers. */
	async #again(failed: Failure): Promise<Next> {
		this.#end.lastProblem = failed.message;
		if (this.#suspicion.standing === 'quarantined') {
			return this.#giveUp(this.#suspicion.refusal);
		}

		return this.#allowance.mayRepeat && this.#allowance.takeFurther() ? 'again' : this.#giveUp(failed);
	}

	/** Passes on the answer of a smaller model where there is one, else says why there is none. */
	async #giveUp(failed: Failure): Promise<Next> {
		const spare = this.#spare.take();
		if (spare === undefined || this.#end.isOver) {
			return this.#end.giveUp(failed);
		}

		this.#models.takeBack(spare.model);
		const step = await passSpare(spare, this.#outcomeOptions({server: spare.server, sentAt: this.#now()}));
		return this.#follow(step, spare.server);
	}

	/** The model that should answer in place of the one that did, as long as the caller has nothing of the answer. */
	#largerModel({confidence}: AnswerHead, latency: number): ModelId | undefined {
		// Of a request under which two servers ended, no second one is put at risk beside the first.
		const isHeldBack = ['doubtful', 'quarantined'].includes(this.#suspicion.standing);
		if (isHeldBack || this.#answer.hasBegun || this.#events.lastEventId !== undefined) {
			return undefined;
		}

		const larger = this.#models.larger({confidence, latency, age: this.#now() - this.#arrivedAt});
		return larger !== undefined && this.#allowance.takeFurther() ? larger : undefined;
	}

	/** A copy that waits at a server when the request is quarantined ends before that server begins it; an answer that goes well goes on. */
	#cancelUnanswered(): void {
		if (!this.#answer.hasBegun) {
			this.#sent?.attempt.cancel();
		}
	}

	#leave(): void {
		if (!this.#end.isOver && this.#answer.isAbandoned) {
			this.#sent?.attempt.cancel();
			this.#end.end('caller-left', {});
		}
	}
}
