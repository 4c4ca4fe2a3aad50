import {type Clock} from '@valehitch/core';
import {FallbackAnswer, type FallbackStream} from './fallback-answer.js';
import {type CancellableSend} from './send-attempt.js';
import {
	StalledAnswer, type StalledAnswerOptions, type StalledStream,
} from './stalled-answer.js';
import {type UnansweredSend, UnansweredSends, type UnansweredSendsOptions} from './unanswered-sends.js';

/** Options of {@linkcode KeptAnswers}. */
export type KeptAnswersOptions = Pick<StalledAnswerOptions, 'onLost' | 'onHandedOver' | 'startTimer'> & Pick<UnansweredSendsOptions, 'isGood' | 'onFailed'> & {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** The current or last send of the request; undefined while only answers are kept. */
	readonly currentSend: () => CancellableSend | undefined;
};

/** A stream that was kept; `incomplete` are the bytes of the event in which a stalled one paused. */
export type KeptStream = FallbackStream & Partial<Pick<StalledStream, 'incomplete'>>;

/**
Keeps what earlier servers may still answer while a request is sent elsewhere: sends without an answer, a stream that has stalled, and the fallback answer of a smaller model. Cancels the current send when one of the former is answered, the stalled stream continues, or no time is left for a better answer.

@example
```ts
const kept = new KeptAnswers({clock, deadlineAt, currentSend, onLost, onHandedOver, isGood, onFailed});
kept.keepStalled(stream);
const stream = kept.take(); // if no other server answers
```
*/
export class KeptAnswers {
	readonly #options: KeptAnswersOptions;
	readonly #fallback: FallbackAnswer;
	readonly #stalled: StalledAnswer;
	readonly #unanswered: UnansweredSends;
	/** The send that was cancelled because an earlier one is being answered. */
	#superseded: CancellableSend | undefined;

	constructor(options: KeptAnswersOptions) {
		this.#options = options;
		this.#fallback = new FallbackAnswer({
			...options,
			onDue() {
				options.currentSend()?.cancel();
			},
		});
		this.#stalled = new StalledAnswer({
			...options,
			onContinue: () => {
				this.#supersede();
			},
		});
		this.#unanswered = new UnansweredSends({
			...options,
			onAnswered: () => {
				this.#supersede();
			},
		});
	}

	/** Whether anything is kept. */
	get isAnyKept(): boolean {
		return this.isEarlierKept || this.#fallback.isKept;
	}

	/** Whether the fallback answer is kept, which can be forwarded at once. */
	get isFallbackKept(): boolean {
		return this.#fallback.isKept;
	}

	/** Whether an earlier server may still go on with the request. */
	get isEarlierKept(): boolean {
		return this.#stalled.isKept || this.#unanswered.isAnyKept;
	}

	/** Whether a stalled stream is kept. */
	get isStalledKept(): boolean {
		return this.#stalled.isKept;
	}

	/** Whether any send is kept that has no answer yet. */
	get isAnyUnanswered(): boolean {
		return this.#unanswered.isAnyKept;
	}

	/** The sends that have no answer yet. */
	get unanswered(): Iterable<UnansweredSend> {
		return this.#unanswered.sends;
	}

	/** Whether the server of the stalled stream has sent data again or has ended the stream, or an earlier send is being answered. */
	get hasContinued(): boolean {
		return this.#stalled.hasContinued || this.#unanswered.isAnswered;
	}

	/** Whether no time is left for a better answer than the fallback. */
	get isFallbackDue(): boolean {
		return this.#fallback.isDue;
	}

	/** Whether the fallback answer is kept and due, so that any other answer is too late. */
	get isTooLate(): boolean {
		return this.#fallback.isKept && this.#fallback.isDue;
	}

	/** Whether the current send was cancelled because an earlier server has continued, even if that one has broken since. */
	get isSuperseded(): boolean {
		return this.#superseded !== undefined && this.#superseded === this.#options.currentSend();
	}

	/**
	Keeps a stalled stream.

	@param stream The stream, which is paused.
	*/
	keepStalled(stream: StalledStream): void {
		this.#stalled.keep(stream);
	}

	/**
	Keeps a send that has no answer yet.

	@param send The send.
	*/
	keepUnanswered(send: UnansweredSend): void {
		this.#unanswered.keep(send);
	}

	/**
	Removes and returns a send that is being answered or, if no answer is kept that can be forwarded, the earliest one that may still be.

	@returns The send; undefined if there is none, or the stalled stream has continued.
	*/
	takeUnanswered(): UnansweredSend | undefined {
		if (this.#stalled.hasContinued) {
			return undefined;
		}

		const isAnotherKept = this.#fallback.isKept || this.#stalled.isKept;
		return this.#unanswered.isAnswered || !isAnotherKept ? this.#unanswered.take() : undefined;
	}

	/**
	Keeps the answer of a smaller model.

	@param stream The answer, which is unread.
	*/
	keepFallback(stream: FallbackStream): void {
		this.#fallback.keep(stream);
	}

	/** Cancels the sends that have no answer, because another server has begun to answer. */
	discardUnanswered(): void {
		this.#unanswered.discard();
	}

	/**
	Closes the stalled stream after the time of a handover, unless its server sends data first.

	@returns Stops it.
	*/
	startHandover(): () => void {
		return this.#stalled.startHandover();
	}

	/**
	Removes and returns the answer to forward, a stalled stream or the fallback. The fallback comes first if it is due, or the stalled stream has not continued.

	@returns The stream; undefined if none is kept.
	*/
	take(): KeptStream | undefined {
		const prefersFallback = this.#fallback.isKept && (this.#fallback.isDue || !this.#stalled.hasContinued);
		return (prefersFallback ? undefined : this.#stalled.take()) ?? this.#fallback.take();
	}

	/**
	Ends the wait for an answer that is better than the fallback.

	@returns Whether a fallback is kept, which is then forwarded.
	*/
	endWait(): boolean {
		if (!this.#fallback.isKept) {
			return false;
		}

		this.#fallback.end();
		return true;
	}

	/** Closes the answers that are kept. */
	discard(): void {
		this.#fallback.discard();
		this.#stalled.discard();
		this.#unanswered.discard();
	}

	#supersede(): void {
		this.#superseded = this.#options.currentSend();
		this.#superseded?.cancel();
	}
}
