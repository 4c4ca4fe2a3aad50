import {type HeldBytes, type SecondSendReason} from '@valehitch/routing';
import {type Failure, failure, type ModelId} from '@valehitch/core';
import {nextPoll, setTimeoutAfterPoll, whenCallerLeaves} from '@valehitch/transport';
import {type Either, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {type ServerRecord} from '../servers/server-record.js';
import {AnswerOutlook} from './answer-outlook.js';
import {authorizeRequest, type AuthorizedRequest} from './authorize-request.js';
import {CallerAnswer} from './caller-answer.js';
import {classifyAnswer} from './classify-answer.js';
import {deadlineOf} from './deadline-of.js';
import {type EntryContext} from './entry-context.js';
import {endExpired} from './end-expired.js';
import {EventStream} from './event-stream.js';
import {forwardMarginMilliseconds} from './fallback-answer.js';
import {type AnswerHead, type GatewayRequest} from './gateway-request.js';
import {ModelCascade} from './model-cascade.js';
import {Placement} from './placement.js';
import {type NextStep, RequestEnd} from './request-end.js';
import {type RequestRunOptions, type StartedSend} from './request-run-options.js';
import {promptWork} from './prompt-work.js';
import {RunAdmission} from './run-admission.js';
import {RunProgress} from './run-progress.js';
import {RunStop} from './run-stop.js';
import {SuspectRequest} from './suspect-request.js';
import {SendAllowance} from './send-allowance.js';
import {type CancellableSend, type SendOutcome} from './send-attempt.js';
import {SendResults} from './send-results.js';
import {KeptAnswers, type KeptStream} from './kept-answers.js';
import {retryMilliseconds} from './retry-milliseconds.js';
import {ServerSearch, type SendTarget} from './server-search.js';
import {handoverMilliseconds} from './stalled-answer.js';
import {startSend} from './start-send.js';
import {type UnansweredSend} from './unanswered-sends.js';
import {SendRace} from './send-race.js';
import {forwardStream} from './forward-stream.js';
import {handleOutcome} from './handle-outcome.js';
import {type HandleOutcomeOptions} from './handle-outcome-options.js';
import {type OutcomeStep} from './outcome-step.js';

/** How long a request waits before it is sent again while a part of its prompt is doubtful, in milliseconds: the time in which another exit would prove the part to be their cause. */
export const doubtfulPartMilliseconds = 300;

const firstErrorStatus = 400;
/** The steps after sends that have not run and are no longer in progress: a deadline that passes later says nothing about their servers. */
const stepsNotRun: ReadonlySet<OutcomeStep['type']> = new Set(['unreachable', 'withheld', 'relay-unavailable', 'not-run']);

/**
Runs one request: chooses servers and models, sends the request, retries it if that is safe, and answers exactly once.

@example
```ts
await new RequestRun(context, {request, body, held, response, authorized, arrivedAt}).run();
```
*/
export class RequestRun {
	readonly #context: EntryContext;
	readonly #request: GatewayRequest;
	readonly #body: Uint8Array;
	readonly #held: HeldBytes;
	readonly #answer: CallerAnswer;
	readonly #placement: Placement;
	readonly #results: SendResults;
	readonly #models: ModelCascade;
	readonly #arrivedAt: number;
	readonly #deadlineAt: number;
	readonly #events: EventStream;
	readonly #allowance: SendAllowance;
	readonly #authorized: AuthorizedRequest;
	readonly #end: RequestEnd;
	readonly #kept: KeptAnswers;
	readonly #race: SendRace;
	/** The sends that were kept and whose error answers are being read. */
	readonly #ending = new Set<CancellableSend>();
	readonly #suspect: SuspectRequest;
	readonly #search: ServerSearch;
	readonly #admission: RunAdmission;
	readonly #stop: RunStop;
	readonly #progress: RunProgress;
	readonly #outlook: AnswerOutlook;
	/** The authorization of the last send; that of the arrival before the first one. */
	#sentAs: AuthorizedRequest;
	/** The authorization with which the request starts over, because its route or workspace has changed before it was sent. */
	#replacement: AuthorizedRequest | undefined;
	/** The current or last send; undefined while only answers or earlier sends are kept. */
	#sent: {readonly attempt: CancellableSend; readonly server: ServerRecord} | undefined;

	constructor(context: EntryContext, {request, body, held, response, authorized, arrivedAt}: RequestRunOptions) {
		const {route} = authorized;
		this.#context = context;
		this.#request = request;
		this.#body = body;
		this.#held = held;
		this.#authorized = authorized;
		this.#sentAs = authorized;
		this.#arrivedAt = arrivedAt;
		this.#deadlineAt = deadlineOf(request, {route, arrivedAt});
		this.#events = new EventStream(request.lastEventId);
		this.#answer = new CallerAnswer(context, {
			request, response, kind: route.kind, arrivedAt,
		});
		this.#placement = new Placement(context, {request, route, bytes: body.byteLength});
		this.#results = new SendResults(context, {request: request.id, route: route.id});
		this.#allowance = new SendAllowance({...context, route, service: this.#placement.service});
		this.#models = new ModelCascade(context, {
			route,
			choosesModel: request.choosesModel,
			tokens: request.inputTokens,
			areSendsScarce: context.servers.availability.areAllRateLimited(this.#placement.service, arrivedAt),
			service: this.#placement.service,
			offered: context.table()?.findService(this.#placement.service)?.models ?? [],
			priority: authorized.workspace?.priority ?? route.priority,
		});
		if (this.#models.firstReason !== undefined) {
			context.metrics.firstModels.inc({reason: this.#models.firstReason});
		}

		this.#progress = new RunProgress(arrivedAt);
		this.#outlook = new AnswerOutlook(context, {request, route, deadlineAt: this.#deadlineAt});
		this.#end = new RequestEnd(context, {
			request: request.id, route, service: this.#placement.service, arrivedAt, answer: this.#answer, allowance: this.#allowance, models: this.#models, progress: this.#progress,
		});
		this.#suspect = new SuspectRequest(context.suspects, {...request, workspace: authorized.workspace?.id, body});
		this.#search = new ServerSearch(context, {
			placement: this.#placement, allowance: this.#allowance, end: this.#end, deadlineAt: this.#deadlineAt,
		});
		this.#admission = new RunAdmission(context, {
			request, authorized, service: this.#placement.service, models: this.#models, outlook: this.#outlook, arrivedAt, deadlineAt: this.#deadlineAt,
		});
		this.#stop = new RunStop(context, {
			deadlineAt: this.#deadlineAt,
			answer: this.#answer,
			end: this.#end,
			currentSend: () => this.#sent?.attempt,
			forwardKept: () => this.#kept.endWait(),
			isEarlierKept: () => this.#kept.isEarlierKept,
			onEnded: () => {
				this.#kept.discard();
				this.#admission.end();
			},
		});
		this.#kept = new KeptAnswers({
			clock: context.clock,
			deadlineAt: this.#deadlineAt,
			currentSend: () => this.#sent?.attempt,
			isGood: ({statusCode = 0, headers}) => classifyAnswer(context.dialect.readAnswer(statusCode, headers), request.id) === 'good',
			onFailed: (send, outcome) => {
				this.#handleUnansweredEnd(send, outcome).catch((error: unknown) => {
					context.log('request-attempt-ended', {
						request: request.id, server: send.server.id, result: 'internal', reason: error instanceof Error ? error.stack ?? error.message : String(error),
					}, 'error');
				});
			},
			onLost: ({server}) => {
				void this.#suspect.recordLoss(server);
			},
			onHandedOver: ({server}) => {
				this.#progress.recordStep('handovers');
				context.log('request-handed-over', {request: request.id, from: server.id, to: this.#sent?.server.id});
			},
		});
		this.#race = new SendRace(context, {
			request: request.id,
			route,
			deadlineAt: this.#deadlineAt,
			placement: this.#placement,
			results: this.#results,
			allowance: this.#allowance,
			models: this.#models,
			end: this.#end,
			kept: this.#kept,
		});
	}

	/** Runs the request until it is answered. */
	async run(): Promise<void> {
		if (this.#now() >= this.#deadlineAt) {
			this.#end.lastProblem = 'the body was complete only after the deadline';
			this.#expire();
			return;
		}

		let stopTimeout = setTimeoutAfterPoll(this.#deadlineAt - this.#now(), () => {
			if (!this.#kept.isTooLate) {
				this.#expire();
				return;
			}

			// The process was held up, and the fallback answer is about to be forwarded.
			stopTimeout = setTimeoutAfterPoll(forwardMarginMilliseconds, () => {
				this.#expire();
			});
		});
		const stopWatchingStop = this.#stop.watch();
		const stopListening = this.#suspect.onQuarantine(() => {
			this.#cancelUnanswered();
		});
		const stopWatching = whenCallerLeaves(this.#answer.response, () => {
			this.#onCallerLeft();
		});
		try {
			await this.#sendUntilEnded();
		} finally {
			stopTimeout();
			stopWatchingStop();
			stopListening();
			stopWatching();
			this.#release();
		}

		if (this.#replacement !== undefined) {
			await new RequestRun(this.#context, {
				request: this.#request, body: this.#body, held: this.#held, response: this.#answer.response, authorized: this.#replacement, arrivedAt: this.#arrivedAt,
			}).run();
		}
	}

	async #sendUntilEnded(): Promise<void> {
		if (!this.#stop.maySend) {
			this.#end.fail(this.#stop.refusal);
			return;
		}

		this.#context.budget.deposit(this.#placement.service, this.#now());
		const admittedFrom = this.#now();
		const rejected = this.#lateRefusal ?? await this.#admission.admit();
		this.#progress.recordHold(this.#now() - admittedFrom);
		let next: NextStep = rejected === undefined ? 'retry' : this.#end.fail(rejected);
		while (next === 'retry' && !this.#end.hasEnded && this.#replacement === undefined) {
			next = await this.#send();
		}
	}

	/** Closes the streams that are kept, and the send that is in progress if the handling of the request failed, and restores unused retries. */
	#release(): void {
		this.#kept.discard();
		for (const attempt of this.#ending) {
			attempt.cancel();
		}

		if (!this.#end.hasEnded) {
			this.#admission.end();
			this.#sent?.attempt.cancel();
		}

		this.#allowance.restoreUnused();
		this.#race.restoreUnused();
	}

	#now(): number {
		return this.#context.clock.monotonic();
	}

	/** The failure of a request that has not run and that no server can answer in time. */
	get #lateRefusal(): Failure | undefined {
		const isNotRun = !this.#end.mayHaveRun && !this.#answer.hasStarted && !this.#kept.isAnyKept;
		const {current} = this.#models;
		return isNotRun && !this.#outlook.mayEnd(current, 'nothing') ? this.#outlook.refusal(current, this.#admission.retryAfter) : undefined;
	}

	/** Whether an answer is kept that another send would likely only take away. An earlier send may still give a better one. */
	get #isFallbackBest(): boolean {
		return this.#kept.isFallbackKept && !this.#kept.isEarlierKept && !this.#outlook.mayEnd(this.#models.current, 'an-answer');
	}

	#expire(): void {
		if (!this.#end.hasEnded && this.#sent?.attempt.isSent() === true) {
			this.#outlook.cut();
		}

		this.#race.expire();
		endExpired(this.#end, {
			sent: this.#sent,
			results: this.#results,
			model: this.#models.current,
			waited: this.#now() - this.#arrivedAt,
			retryAfter: retryMilliseconds,
			areLinksInDoubt: !this.#context.links.of(this.#placement.service).areConnected,
		});
		this.#kept.discard();
		this.#admission.end();
	}

	/** The processing time of the prompt as others see it: bounded where they decide by the load of the pool, so that a false length has a bounded effect on them. */
	get #reading(): number | undefined {
		const {calm, current} = this.#models;
		const isPoolKnown = Number.isFinite(this.#context.poolLoads.picture().age);
		return calm !== undefined && isPoolKnown ? promptWork(this.#context.latencies, {route: this.#authorized.route, model: current, tokens: this.#request.inputTokens}) : calm;
	}

	async #send(): Promise<NextStep> {
		if (this.#allowance.sends > 0 && !this.#answer.hasStarted && this.#suspect.hasDoubtfulPart) {
			await this.#context.wait(doubtfulPartMilliseconds);
		}

		await this.#context.freshness.refresh(this.#deadlineAt - this.#now());
		// A request that is read late, or released by a timer, is not sent if its caller has left meanwhile.
		await nextPoll();
		if (this.#end.hasEnded) {
			return 'ended';
		}

		// A timer may be late.
		if (this.#now() >= this.#deadlineAt && !this.#kept.isTooLate) {
			this.#expire();
			return 'ended';
		}

		if (!this.#stop.maySend) {
			return this.#fail(this.#stop.refusal);
		}

		const {standing} = this.#suspect;
		if (standing === 'quarantined') {
			return this.#fail(this.#suspect.refusal);
		}

		if (this.#kept.hasContinued) {
			return this.#fail(failure('outcome-unknown', this.#end.lastProblem));
		}

		if (this.#kept.isFallbackDue || this.#isFallbackBest) {
			return this.#fail(failure('deadline-exceeded-after-dispatch', `No better answer arrived in time (${this.#end.lastProblem})`));
		}

		const late = this.#lateRefusal;
		if (late !== undefined) {
			return this.#fail(late);
		}

		const authorized = this.#authorize();
		if (authorized.isLeft()) {
			return this.#fail(authorized.extract());
		}

		const current = authorized.unsafeCoerce();
		if (!this.#isAuthorizedAs(current)) {
			this.#replacement = current;
			return 'retry';
		}

		const found = await this.#search.next({
			model: this.#models.current, load: this.#models.load, isSuspect: standing !== 'unknown', mayWait: !this.#kept.isEarlierKept,
		});
		return match(found)
			.with({type: 'target'}, async ({target}) => this.#sendTo(target, current))
			.with({type: 'retry'}, async (): Promise<NextStep> => 'retry')
			.with({type: 'none'}, async ({failed}) => this.#fail(failed))
			.exhaustive();
	}

	/** Authorizes the request by the current configuration until it has been sent; a configuration that comes later applies to later requests. */
	#authorize(): Either<Failure, AuthorizedRequest> {
		return this.#allowance.sends > 0 ? Right(this.#sentAs) : this.#authorizeAnew();
	}

	#authorizeAnew(): Either<Failure, AuthorizedRequest> {
		return authorizeRequest(this.#request, {...this.#context, table: this.#context.table(), now: this.#now()});
	}

	/** Whether the run of the request goes by the same route, service and workspace. */
	#isAuthorizedAs({route, workspace}: AuthorizedRequest): boolean {
		const former = this.#authorized;
		return route.id === former.route.id && workspace?.id === former.workspace?.id && route.services.some(({service}) => service === this.#placement.service);
	}

	/** Whether the request may be written once its connection has opened: by the deadline, the stop of the instance, the state of the server and, for the first send, the configuration. */
	#mayStillSend({id}: ServerRecord): boolean {
		return this.#now() < this.#deadlineAt
			&& this.#stop.maySend
			&& this.#context.servers.availability.includes(id)
			&& (this.#allowance.sends > 1 || this.#authorizeAnew().map(current => this.#isAuthorizedAs(current)).orDefault(false));
	}

	async #sendTo(target: SendTarget, authorized: AuthorizedRequest): Promise<NextStep> {
		const {server} = target;
		const sentAt = this.#now();
		this.#sentAs = authorized;
		this.#progress.recordDispatch(sentAt);
		this.#outlook.begin({model: this.#models.current, sentAt, lastEventId: this.#events.lastEventId});
		const expected = this.#context.servers.expectedFirstEvent(server.id, this.#models.calm);
		const load = this.#context.servers.beginSend(server.id, {load: this.#models.load, reading: this.#reading, now: sentAt});
		const patience = this.#race.patienceAt(server);
		const attempt = startSend(this.#context, {
			request: this.#request,
			body: this.#body,
			server,
			relay: target.relay,
			authorized,
			models: this.#models,
			allowance: this.#allowance,
			arrivedAt: this.#arrivedAt,
			deadlineAt: this.#deadlineAt,
			lastEventId: this.#events.lastEventId,
			processEnd: load.processEnd,
			mayStillSend: () => this.#mayStillSend(server),
			patience,
			onWait: reason => {
				this.#end.lastProblem = `${server.id} is late, and no other server is asked: ${reason}`;
			},
			canGoOn: ({isResponsive}) => this.#kept.isFallbackKept
				|| (isResponsive === false ? this.#search.isLinkInDoubt(target) || this.#canGoElsewhere(server) : this.#canGoBeside(server)),
		});
		const send = {
			...target, number: this.#allowance.sends, attempt, sentAt, load, expected, model: this.#models.current, patience,
		};
		this.#sent = send;
		const first = await Promise.race([attempt.outcome, attempt.overdue]);
		if (attempt.isSent()) {
			this.#race.recordSent();
		}

		if (first.type === 'overdue') {
			if (this.#tryAskAnother(send, first.reason)) {
				return 'retry';
			}

			if (first.reason === 'unresponsive' || this.#kept.isFallbackKept) {
				attempt.giveUp();
			}
		}

		return this.#handleSend(send, await attempt.outcome);
	}

	/** Keeps a send whose answer is late, if the request can be sent to another server; returns whether it can. */
	#tryAskAnother(send: Omit<UnansweredSend, 'reason' | 'wasServerHeard'>, reason: SecondSendReason): boolean {
		if (!this.#canGoBeside(send.server) || !this.#mayRetry()) {
			return false;
		}

		this.#sent = undefined;
		this.#progress.recordStep('overdue');
		this.#race.keep({...send, reason});
		return true;
	}

	async #handleSend(send: Omit<UnansweredSend, 'reason' | 'wasServerHeard'>, outcome: SendOutcome): Promise<NextStep> {
		if (outcome.type === 'cancelled' && !send.attempt.isSent()) {
			this.#allowance.cancelSend();
		}

		this.#race.recordOutcome(send, outcome);
		const step = await handleOutcome(outcome, this.#outcomeOptions(send));
		this.#outlook.end({isWhole: isWholeAnswer(step)});
		if (stepsNotRun.has(step.type)) {
			this.#sent = undefined;
		}

		send.load?.end();
		this.#context.metrics.attempts.inc({result: outcome.type});
		return this.#handleStep(step, send);
	}

	/** Whether the request can be sent to another server while the current send goes on. If a server has ended during it, two are not put at risk at the same time. */
	#canGoBeside(server: ServerRecord): boolean {
		return !this.#end.hasEnded && this.#suspect.standing === 'unknown' && this.#canGoElsewhere(server);
	}

	/** Handles the end of a send that was kept, while the request goes on elsewhere. */
	async #handleUnansweredEnd(send: UnansweredSend, outcome: SendOutcome): Promise<void> {
		this.#race.recordOutcome(send, outcome);
		// An error answer may still come when the request has ended.
		const held = this.#context.memory.open();
		this.#ending.add(send.attempt);
		const step = await handleOutcome(outcome, {...this.#outcomeOptions(send), held});
		this.#ending.delete(send.attempt);
		held.set(0);
		if (step.type === 'failed') {
			this.#end.keepFailedAnswer(step.answer);
		}

		send.load?.end();
		this.#context.metrics.attempts.inc({result: outcome.type});
	}

	#canGoElsewhere(server: ServerRecord): boolean {
		return this.#suspect.standing !== 'quarantined' && this.#search.canGoElsewhere(server);
	}

	#outcomeOptions({number, server, relay, sentAt, load, expected, patience}: StartedSend): HandleOutcomeOptions {
		return {
			context: this.#context,
			request: this.#request,
			suspect: this.#suspect,
			route: this.#authorized.route,
			models: this.#models,
			results: this.#results,
			progress: this.#progress,
			answer: this.#answer,
			events: this.#events,
			held: this.#held,
			server,
			relay,
			send: number,
			sentAt,
			deadlineAt: this.#deadlineAt,
			patience,
			expected,
			hasEnded: () => this.#end.hasEnded,
			onGoodHead: () => {
				this.#race.recordAnswered({sentAt, patience});
				if (this.#authorized.route.kind !== 'streaming') {
					this.#race.end({sentAt});
				}
			},
			onStreamStart: () => {
				load?.markAnswerStarted();
				this.#placement.recordStreamStart(server.version);
			},
			startHandover: () => {
				const stopHandover = this.#kept.startHandover();
				const stopRace = setTimeoutAfterPoll(handoverMilliseconds, () => {
					this.#race.end({sentAt});
				});
				return () => {
					stopHandover();
					stopRace();
				};
			},
			onFirstEvent: () => {
				this.#race.end({sentAt});
				this.#kept.discard();
			},
			canResumeElsewhere: () => this.#canGoElsewhere(server),
			keepStalled: stream => {
				this.#sent = undefined;
				this.#kept.keepStalled(stream);
			},
			isSuperseded: () => this.#kept.isSuperseded,
			isTooLate: () => this.#kept.isTooLate,
			chooseLarger: (head, latency) => this.#chooseLargerModel(head, latency),
		};
	}

	/** Handles the step that follows a send; returns whether the request is sent again. */
	async #handleStep(step: OutcomeStep, target: SendTarget & Pick<StartedSend, 'sentAt'>): Promise<NextStep> {
		if (this.#end.hasEnded) {
			return 'ended';
		}

		const {server} = target;
		return match(step)
			.with({type: 'ended'}, async (): Promise<NextStep> => 'ended')
			.with({type: 'unreachable'}, async () => {
				const failed = this.#search.recordUnreachable(target);
				return failed === undefined ? 'retry' : this.#fail(failed);
			})
			.with({type: 'relay-unavailable'}, async (): Promise<NextStep> => {
				this.#search.recordRelayUnavailable(target);
				return 'retry';
			})
			.with({type: 'withheld'}, async (): Promise<NextStep> => {
				this.#allowance.cancelSend();
				return 'retry';
			})
			.with({type: 'not-run'}, async ({failed}) => this.#handleNotRun(server, failed))
			.with({type: 'connection-lost'}, async ({failed}) => {
				this.#allowance.requireNewConnections();
				this.#end.recordPossibleRun();
				return this.#retry(failed);
			})
			.with({type: 'failed'}, async ({failed, answer}) => {
				this.#allowance.requireNewConnections();
				this.#end.recordPossibleRun();
				this.#end.keepFailedAnswer(answer);
				// A send that was cancelled because the stream has continued says nothing about its server.
				if (!this.#kept.isSuperseded) {
					this.#placement.exclude(server);
				}

				return this.#retry(failed);
			})
			.with({type: 'whole'}, async ({answer, framing}) => this.#kept.isStalledKept
				? this.#fail(failure('backend-failed', `${server.id} answered the resumed stream with status ${answer.status}`))
				: this.#end.forward(answer, {framing}))
			.with({type: 'escalated'}, async ({model, fallback}): Promise<NextStep> => {
				this.#end.recordPossibleRun();
				this.#race.end(target);
				this.#sent = undefined;
				this.#progress.recordStep('escalations');
				this.#kept.keepFallback(fallback);
				this.#models.escalateTo(model);
				return 'retry';
			})
			.with({type: 'streamed'}, async ({send, confidence, framing, leftoverBytes}) => {
				this.#answer.finishStream();
				return this.#end.recordEnd('answered', {
					server: server.id, send, confidence, framing, leftoverBytes,
				});
			})
			.exhaustive();
	}

	async #handleNotRun(server: ServerRecord, {message}: Failure): Promise<NextStep> {
		this.#end.lastProblem = message;
		this.#placement.exclude(server);
		return this.#mayRetry()
			? 'retry'
			: this.#fail(failure('overloaded', `${message}, and no retry is left`, {retryAfterMilliseconds: this.#admission.retryAfter}));
	}

	/** Retries the request if that is safe and the retry limits allow it; otherwise answers with the failure. */
	async #retry(failed: Failure): Promise<NextStep> {
		this.#end.lastProblem = failed.message;
		if (this.#suspect.standing === 'quarantined') {
			return this.#fail(this.#suspect.refusal);
		}

		const wouldRiskTwo = this.#kept.isAnyUnanswered && this.#suspect.standing !== 'unknown';
		return !wouldRiskTwo && this.#allowance.isRepeatable && this.#mayRetry() ? 'retry' : this.#fail(failed);
	}

	/** Withdraws a retry, unless the earlier server of a stalled stream has continued it. */
	#mayRetry(): boolean {
		return !this.#kept.hasContinued && this.#allowance.tryRetry();
	}

	/** Forwards what an earlier server still sends, a stalled stream or the fallback answer of a smaller model; otherwise answers with the failure. */
	async #fail(failed: Failure): Promise<NextStep> {
		if (this.#end.hasEnded) {
			return 'ended';
		}

		const unanswered = this.#kept.takeUnanswered();
		if (unanswered !== undefined) {
			return this.#awaitEarlier(unanswered, failed);
		}

		const kept = this.#kept.take();
		if (kept?.incomplete !== undefined) {
			this.#events.restoreIncomplete(kept.incomplete);
			this.#context.log('request-returned', {request: this.#request.id, server: kept.server.id, reason: failed.message});
		}

		return kept === undefined ? this.#end.fail(failed) : this.#forwardKept(kept);
	}

	/** Waits for the answer of a send that was kept, or handles it if it is there. */
	async #awaitEarlier(send: UnansweredSend, {message}: Failure): Promise<NextStep> {
		this.#context.log('request-returned', {request: this.#request.id, server: send.server.id, reason: message});
		this.#sent = send;
		this.#models.restore(send.model);
		this.#outlook.begin({...send, lastEventId: this.#events.lastEventId});
		this.#allowance.restoreUnused();
		this.#race.restoreUnused();
		const next = await Promise.race([send.attempt.outcome, send.attempt.watchAgain()]);
		return next.type === 'overdue' && this.#tryAskAnother(send, next.reason) ? 'retry' : this.#handleSend(send, await send.attempt.outcome);
	}

	async #forwardKept(stream: KeptStream): Promise<NextStep> {
		this.#sent = {
			server: stream.server,
			attempt: {
				isSent: () => true,
				cancel() {
					stream.received.message.destroy();
				},
			},
		};
		this.#models.restore(stream.model);
		// The send that was last waited for is given up here, and the time of an answer that was kept says nothing.
		this.#outlook.end({isWhole: false});
		this.#allowance.restoreUnused();
		this.#race.restoreUnused();
		const sentAt = this.#now();
		const step = await forwardStream(stream, this.#outcomeOptions({number: stream.send, server: stream.server, sentAt}));
		return this.#handleStep(step, {...stream, sentAt});
	}

	/** Returns the model that the request escalates to, unless the caller has already received a part of an answer. */
	#chooseLargerModel({confidence}: AnswerHead, latency: number): ModelId | undefined {
		// If two servers ended during the request, do not put a second server at risk at the same time.
		const isCrashLikely = ['doubtful', 'quarantined'].includes(this.#suspect.standing);
		if (isCrashLikely || this.#answer.hasStarted || this.#events.lastEventId !== undefined || !this.#stop.mayImprove) {
			return undefined;
		}

		const larger = this.#models.chooseLarger({confidence, latency, age: this.#now() - this.#arrivedAt});
		return larger !== undefined && this.#outlook.mayEnd(larger, 'an-answer') && this.#allowance.tryRetry() ? larger : undefined;
	}

	/** Cancels the send when the request is quarantined, before the server starts to process it. An answer that has started continues. */
	#cancelUnanswered(): void {
		if (!this.#answer.hasStarted) {
			this.#sent?.attempt.cancel();
			this.#kept.discardUnanswered();
		}
	}

	#onCallerLeft(): void {
		this.#admission.end();
		if (!this.#end.hasEnded) {
			this.#sent?.attempt.cancel();
			this.#kept.discard();
			this.#end.recordEnd('caller-left', {});
		}
	}
}

/** Whether a step ends a request with a whole success. */
function isWholeAnswer(step: OutcomeStep): boolean {
	return step.type === 'streamed' || (step.type === 'whole' && step.answer.status < firstErrorStatus);
}
