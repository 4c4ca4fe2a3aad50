import {type Clock} from '@valehitch/core';
import {FallbackAnswer, type FallbackStream} from './fallback-answer.js';
import {type CancellableSend} from './send-attempt.js';
import {StalledAnswer, type StalledAnswerOptions, type StalledStream} from './stalled-answer.js';

/** Options of {@linkcode KeptAnswers}. */
export type KeptAnswersOptions = Pick<StalledAnswerOptions, 'onLost' | 'onHandedOver' | 'startTimer'> & {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** The current or last send of the request; undefined while only answers are kept. */
	readonly currentSend: () => CancellableSend | undefined;
};

/** A stream that was kept; `incomplete` are the bytes of the event in which a stalled one paused. */
export type KeptStream = FallbackStream & Partial<Pick<StalledStream, 'incomplete'>>;

/**
Keeps the answers of earlier servers while a request is sent elsewhere: a stream that has stalled, and the fallback answer of a smaller model. Cancels the current send when the stalled stream continues, or no time is left for a better answer.

@example
```ts
const kept = new KeptAnswers({clock, deadlineAt, currentSend, onLost, onHandedOver});
kept.keepStalled(stream);
const stream = kept.take(); // if no other server answers
```
*/
export class KeptAnswers {
	readonly #options: KeptAnswersOptions;
	readonly #fallback: FallbackAnswer;
	readonly #stalled: StalledAnswer;
	/** The send that was cancelled because the stalled stream has continued. */
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
				this.#superseded = options.currentSend();
				this.#superseded?.cancel();
			},
		});
	}

	/** Whether any answer is kept. */
	get isAnyKept(): boolean {
		return this.#stalled.isKept || this.#fallback.isKept;
	}

	/** Whether a stalled stream is kept. */
	get isStalledKept(): boolean {
		return this.#stalled.isKept;
	}

	/** Whether the server of the stalled stream has sent data again, or has ended the stream. */
	get hasContinued(): boolean {
		return this.#stalled.hasContinued;
	}

	/** Whether no time is left for a better answer than the fallback. */
	get isFallbackDue(): boolean {
		return this.#fallback.isDue;
	}

	/** Whether the fallback answer is kept and due, so that any other answer is too late. */
	get isTooLate(): boolean {
		return this.#fallback.isKept && this.#fallback.isDue;
	}

	/** Whether the current send was cancelled because a stalled stream has continued, even if that one has broken since. */
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
	Keeps the answer of a smaller model.

	@param stream The answer, which is unread.
	*/
	keepFallback(stream: FallbackStream): void {
		this.#fallback.keep(stream);
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
	}
}
