import {type ServerResponse} from 'node:http';
import {failure, type RequestId, type WorkspaceId} from '@valehitch/core';
import {
	type CallerAction,
	type ClaimOutcome,
	type RequestAction, type RequestEvent, type RequestPlan, type RequestState, type RequestStep, type RequestTarget, startRequest, stepRequest,
} from '@valehitch/routing';
import {whenCallerLeaves} from '@valehitch/transport';
import {match} from 'ts-pattern';
import {type AnswerPiece, type AttemptOutput} from '../attempt-output.js';
import {type EntryContext} from '../entry-context.js';
import {type AdmissionDemand} from '../traffic/admission-pools.js';
import {type Attempt, AttemptSet} from './attempt-set.js';
import {chooseServerEvent, chooseVersionEvent} from './choose-events.js';
import {dispatchAttempt} from './dispatch-attempt.js';
import {RequestTimers} from './request-timers.js';
import {toRequestEvent} from './output-event.js';
import {type DispatchAction, type RequestAdapter} from './request-adapter.js';
import {RequestAnswer} from './request-answer.js';
import {RequestBill, type SettleBillAction} from './request-bill.js';
import {RequestClaim, type RequestKey} from './request-claim.js';

/** Options of a {@linkcode RequestExecution}. */
export type RequestExecutionOptions = {
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly plan: RequestPlan;
	readonly adapter: RequestAdapter;
	/** The idempotency key; required if the plan takes a claim. */
	readonly key: RequestKey | undefined;
	/** The resources that the request needs, for its admission. */
	readonly demand: AdmissionDemand;
	readonly context: EntryContext;
};

type QueuedEvent = {
	readonly event: RequestEvent;
	readonly piece?: AnswerPiece | undefined;
};

/**
Executes one request: performs the actions of its state machine and feeds their results back as events.

@example
```ts
await new RequestExecution(options).run();
```
*/
export class RequestExecution {
	readonly #options: RequestExecutionOptions;
	readonly #answer: RequestAnswer;
	readonly #claim: RequestClaim | undefined;
	readonly #bill: RequestBill;
	readonly #attempts: AttemptSet;
	readonly #timers: RequestTimers;
	readonly #queue: QueuedEvent[] = [];
	#onEnded: (() => void) | undefined;
	#state: RequestState | undefined;
	#stepping = false;
	#isAnswered = false;
	#hasFailed = false;
	/** The number of tokens used by all attempts. */
	#tokens = 0;
	#currentPiece: AnswerPiece | undefined;

	constructor(options: RequestExecutionOptions) {
		const {requestId, context, plan, key} = options;
		this.#options = options;
		this.#answer = new RequestAnswer({...options, claimed: plan.requiresClaim});
		this.#bill = new RequestBill(options);
		this.#claim = key && new RequestClaim({...options, ...key});
		this.#timers = new RequestTimers({
			clock: context.clock,
			onExpired: timer => {
				this.handleEvent({type: 'timer', timer});
			},
		});
		this.#attempts = new AttemptSet({
			onOutput: (attempt, output) => {
				this.#handleOutput(attempt, output);
			},
			onError(error) {
				context.log.error({err: error, requestId}, 'Unexpected error in the request adapter');
			},
			waitForDrain: async () => this.#answer.waitForDrain(),
		});
	}

	/**
	Executes the request.

	@returns The target that answered completely, or undefined if none did; resolves when the request has ended.
	*/
	async run(): Promise<RequestTarget | undefined> {
		const {response, plan, context, requestId} = this.#options;
		const ended = new Promise<void>(resolve => {
			this.#onEnded = resolve;
		});
		context.executions.add(this);
		whenCallerLeaves(response, () => {
			context.timeline.record('request-cancelled', {requestId, workspace: this.#options.workspace});
			this.handleEvent({type: 'caller-left'});
		});
		this.#perform(() => startRequest(plan));
		const {answersDueAt} = context.requests;
		if (answersDueAt !== undefined) {
			this.handleEvent({type: 'instance-stopping', answersDueAt});
		}

		this.#processQueue();
		await ended;
		context.admission.end(requestId, this.#tokens);
		context.decisions.recordEnd(requestId, this.#isAnswered ? 'answered' : 'not answered whole');
		context.executions.delete(this);
		return this.#isAnswered ? this.#target : undefined;
	}

	/**
	Passes an event to the state machine. An event that arrives while actions are performed is queued.

	@param event The event.
	@param piece The piece of the answer that belongs to the event.
	*/
	handleEvent(event: RequestEvent, piece?: AnswerPiece): void {
		if (this.#hasFailed) {
			return;
		}

		this.#queue.push({event, piece});
		this.#processQueue();
	}

	#processQueue(): void {
		while (!this.#stepping && this.#state !== undefined) {
			const queued = this.#queue.shift();
			if (queued === undefined) {
				return;
			}

			this.#currentPiece = queued.piece;
			const state = this.#state;
			this.#perform(() => stepRequest(state, {event: queued.event, now: this.#options.context.clock.monotonic()}));
		}
	}

	#perform(step: () => RequestStep): void {
		this.#stepping = true;
		let isEnd = false;
		try {
			const {state, actions} = step();
			isEnd = state.stage === 'ended' && this.#state?.stage !== 'ended';
			this.#state = state;
			for (const action of actions) {
				this.#performAction(action);
			}
		} catch (error) {
			this.#endUnexpectedly(error);
			return;
		}

		this.#stepping = false;
		if (isEnd) {
			this.#timers.clearAll();
			this.#attempts.cancelAll();
			this.#onEnded?.();
		}
	}

	#performAction(action: RequestAction): void {
		match(action)
			// Frequent actions come first, since the cases are tested in order.
			.with({type: 'forward-piece'}, ({attempt}) => {
				this.#forward(attempt, this.#currentPiece === undefined ? [] : [this.#currentPiece]);
			})
			.with({type: 'set-timer'}, ({timer, at}) => {
				this.#timers.set(timer, at);
			})
			.with({type: 'clear-timer'}, ({timer}) => {
				this.#timers.clear(timer);
			})
			.with({type: 'request-admission'}, () => {
				this.#start(this.#admit());
			})
			.with({type: 'pin-session'}, ({target}) => {
				this.handleEvent({type: 'session-pinned', target});
			})
			.with({type: 'take-claim'}, () => {
				this.#start(this.#takeClaim());
			})
			.with({type: 'settle-claim'}, ({outcome: end}) => {
				this.#settleClaim(end);
			})
			.with({type: 'open-bill'}, () => {
				this.#start(this.#openBill());
			})
			.with({type: 'settle-bill'}, settlement => {
				this.#start(this.#settleBill(settlement));
			})
			.with({type: 'choose-version'}, ({lost}) => {
				this.handleEvent(chooseVersionEvent(this.#options.adapter, lost));
			})
			.with({type: 'choose-server'}, choice => {
				this.handleEvent(chooseServerEvent(choice, {adapter: this.#options.adapter, isResumable: this.#answer.isResumable}));
			})
			.with({type: 'dispatch'}, dispatch => {
				this.#dispatch(dispatch);
			})
			.with({type: 'cancel-attempt'}, ({attempt}) => {
				this.#attempts.cancel(attempt);
			})
			.with({type: 'judge-attempt'}, ({attempt}) => {
				this.#judge(attempt);
			})
			.otherwise(callerAction => {
				this.#performCallerAction(callerAction);
			});
	}

	#performCallerAction(action: Exclude<CallerAction, {readonly type: 'forward-piece'}>): void {
		match(action)
			.with({type: 'hold-piece'}, () => {
				// Nothing to do: pieces are buffered when they arrive.
			})
			.with({type: 'forward-held'}, ({attempt}) => {
				this.#forward(attempt, this.#attempts.get(attempt)?.pieces ?? []);
			})
			.with({type: 'drop-held'}, ({attempt}) => {
				this.#attempts.get(attempt)?.pieces.splice(0);
			})
			.with({type: 'finish-answer'}, ({attempt}) => {
				this.#isAnswered = true;
				this.#answer.finish(this.#attempts.get(attempt), this.#target);
			})
			.with({type: 'replay-answer'}, () => {
				this.#answer.replay(this.#claim?.keptAnswer);
			})
			.with({type: 'refuse'}, ({failure: failed}) => {
				this.#answer.refuse(failed);
			})
			.exhaustive();
	}

	/** Starts a task of this request. An error ends the request, not the process. */
	#start(task: Promise<void>): void {
		task.catch((error: unknown) => {
			this.#endUnexpectedly(error);
		});
	}

	/** Ends the request after an error. Its answer is refused, or broken off if it has begun. */
	#endUnexpectedly(error: unknown): void {
		if (this.#hasFailed) {
			return;
		}

		const {context, requestId} = this.#options;
		context.log.error({err: error, requestId}, 'Unexpected error in the request');
		this.#hasFailed = true;
		this.#isAnswered = false;
		this.#queue.splice(0);
		this.#timers.clearAll();
		this.#attempts.cancelAll();
		this.#answer.refuse(failure('internal', 'Unexpected error in the request handler'));
		this.#onEnded?.();
	}

	async #admit(): Promise<void> {
		const {context: {admission}, demand} = this.#options;
		this.handleEvent(await admission.admit(demand));
	}

	async #takeClaim(): Promise<void> {
		this.handleEvent(await this.#claim?.take() ?? {type: 'claim-answered', answer: 'taken'});
	}

	#settleClaim(end: ClaimOutcome): void {
		const leader = this.#state?.answeringAttempt;
		const attempt: Attempt | undefined = leader === undefined ? undefined : this.#attempts.get(leader);
		this.#claim?.settle(end, this.#answer.keptAnswer(attempt, this.#target));
	}

	async #openBill(): Promise<void> {
		this.handleEvent(await this.#bill.open());
	}

	async #settleBill(settlement: SettleBillAction): Promise<void> {
		for (const {usage, outcome} of settlement.lines) {
			this.#tokens += outcome === 'ran' ? Math.max(1, usage.input + usage.output) : 0;
		}

		await this.#bill.settle(settlement);
		this.handleEvent({type: 'bill-settled'});
	}

	#dispatch(dispatch: DispatchAction): void {
		const denied = dispatchAttempt(dispatch, {...this.#options, attempts: this.#attempts, partialAnswer: this.#answer.partialAnswer});
		if (denied !== undefined) {
			this.handleEvent(denied);
		}
	}

	#handleOutput(number: number, output: AttemptOutput): void {
		if (output.type === 'piece' && this.#buffersPieces()) {
			this.#attempts.get(number)?.pieces.push(output.piece);
		}

		if (output.type !== 'piece' && output.type !== 'head' && output.type !== 'complete') {
			const {context, requestId} = this.#options;
			context.log.info({
				requestId, attempt: number, end: output.type, message: output.message, ...(output.type === 'silent' && output.details),
			}, output.type === 'silent' ? 'The answer is overdue; keeping the connection and asking another server' : 'An attempt ended without a complete answer');
		}

		this.handleEvent(toRequestEvent(number, output, this.#attempts.get(number)?.denial), output.type === 'piece' ? output.piece : undefined);
	}

	#buffersPieces(): boolean {
		const {plan} = this.#options;
		return plan.requiresClaim || !plan.streamed || this.#state?.judged === true;
	}

	#judge(attempt: number): void {
		const judged = this.#attempts.get(attempt);
		this.handleEvent({type: 'attempt-judged', attempt, ...this.#options.adapter.judge(this.#target, {head: judged?.head, pieces: judged?.pieces ?? []})});
	}

	#forward(number: number, pieces: readonly AnswerPiece[]): void {
		const attempt = this.#attempts.get(number);
		for (const piece of pieces) {
			this.#answer.forward(attempt, piece, this.#target);
		}
	}

	get #target(): RequestTarget {
		return this.#state?.target ?? this.#options.plan.target;
	}
}
