import {type Failure, failure, type ModelId} from '@valehitch/core';
import {mayEndInTime, type PlannedSend} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {lengthClass} from './length-class.js';

/** Options of {@linkcode AnswerOutlook}. */
export type AnswerOutlookOptions = {
	readonly request: Pick<GatewayRequest, 'choosesModel' | 'inputTokens' | 'outputTokens' | 'expectedTokens' | 'lastEventId'>;
	readonly route: Pick<Route, 'id' | 'sizes'>;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/** A send whose whole answer is awaited. */
export type AwaitedAnswer = {
	readonly model: ModelId | undefined;
	/** When it was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
	/** The id of the last event that the caller had received; undefined if there was none. */
	readonly lastEventId: string | undefined;
};

/** The share of the answers that an ordinary one takes no less than. */
const ordinaryShare = 0.5;

/**
Whether the answer to one request can end in time, and how long it took for the requests after it.

@example
```ts
const outlook = new AnswerOutlook(context, {request, route, deadlineAt});
outlook.begin({model, sentAt, lastEventId: undefined});
outlook.end({isWhole: true});
```
*/
export class AnswerOutlook {
	readonly #context: Pick<EntryContext, 'clock' | 'wholeTimes'>;
	readonly #options: AnswerOutlookOptions;
	#awaited: {readonly key: string; readonly sentAt: number} | undefined;

	constructor(context: Pick<EntryContext, 'clock' | 'wholeTimes'>, options: AnswerOutlookOptions) {
		this.#context = context;
		this.#options = options;
	}

	/**
	Checks whether an answer that is dispatched now can end in time; true while that is not known.

	@param model The model; undefined if the caller chose it or the request needs none.
	@param loses What the caller loses if it does not end.
	@returns Whether it can.
	*/
	mayEnd(model: ModelId | undefined, loses: PlannedSend['loses']): boolean {
		const key = this.#keyOf(model, this.#options.request.lastEventId);
		const now = this.#context.clock.monotonic();
		return key === undefined || mayEndInTime(this.#context.wholeTimes, {
			key, timeLeft: this.#options.deadlineAt - now, loses, now,
		});
	}

	/**
	Returns how long an ordinary answer goes on after its first event.

	@param model The model; undefined if the caller chose it or the request needs none.
	@param firstEvent The expected time from the dispatch to the first event, in milliseconds.
	@returns Milliseconds; 0 while that is not known.
	*/
	timeAfter(model: ModelId | undefined, firstEvent: number): number {
		const key = this.#keyOf(model, this.#options.request.lastEventId);
		const {clock, wholeTimes} = this.#context;
		const whole = key === undefined ? undefined : wholeTimes.quantile(key, {share: ordinaryShare, now: clock.monotonic()});
		return Math.max(0, (whole ?? 0) - firstEvent);
	}

	/**
	Returns the failure of a request that has not run and whose answer cannot end in time any more.

	@param model The model of its first send.
	@param retryAfter The retry delay suggested to the caller, in milliseconds.
	@returns The failure.
	*/
	refusal(model: ModelId | undefined, retryAfter: number): Failure {
		const left = Math.round(this.#options.deadlineAt - this.#context.clock.monotonic());
		return failure('overloaded', `No answer${model === undefined ? '' : ` of ${model}`} ends in the ${left} ms that are left`, {retryAfterMilliseconds: retryAfter});
	}

	/**
	Begins the wait for the whole answer to a send, in place of that to the send before.

	@param send The send; a part of an answer, after its last event, says nothing.
	*/
	begin({model, sentAt, lastEventId}: AwaitedAnswer): void {
		const key = this.#keyOf(model, lastEventId);
		this.#awaited = key === undefined ? undefined : {key, sentAt};
	}

	/**
	Ends the wait.

	@param result Whether the answer is whole; of any other, nothing is recorded.
	*/
	end({isWhole}: {readonly isWhole: boolean}): void {
		if (this.#awaited !== undefined && isWhole) {
			const {key, sentAt} = this.#awaited;
			this.#context.wholeTimes.recordAnswered(key, {sentAt, now: this.#context.clock.monotonic()});
		}

		this.#awaited = undefined;
	}

	/** Ends the wait at the deadline: the answer would have taken longer. */
	cut(): void {
		if (this.#awaited !== undefined) {
			const {key, sentAt} = this.#awaited;
			this.#context.wholeTimes.recordAbandoned(key, {sentAt, now: this.#context.clock.monotonic()});
			this.#awaited = undefined;
		}
	}

	/** Returns what the times of such answers are kept under; undefined for parts of answers, and if the caller chose one of several models. */
	#keyOf(model: ModelId | undefined, lastEventId: string | undefined): string | undefined {
		const {route, request: {choosesModel, inputTokens, outputTokens, expectedTokens}} = this.#options;
		if (lastEventId !== undefined || (route.sizes.length > 0 && !choosesModel)) {
			return undefined;
		}

		const length = Math.min(expectedTokens ?? outputTokens, outputTokens === 0 ? Number.POSITIVE_INFINITY : outputTokens);
		return `${route.id} ${model ?? ''} ${lengthClass(inputTokens)} ${lengthClass(length)}`;
	}
}
