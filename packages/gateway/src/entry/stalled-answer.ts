import {setTimeoutAfterPoll} from '@valehitch/transport';
import {type FallbackStream} from './fallback-answer.js';

/** A stream that has been forwarded up to a pause longer than the stall timeout. */
export type StalledStream = FallbackStream & {
	/** The bytes of the event in which it paused. */
	readonly incomplete: Uint8Array;
};

/** Options of {@linkcode StalledAnswer}. */
export type StalledAnswerOptions = {
	/** Called when the server of the stream sends data again, or ends the stream. */
	readonly onContinue: () => void;
	/** Called when the connection of the stream breaks while it is kept. */
	readonly onLost: (stream: StalledStream) => void;
	/** Called before the stream is closed because another server has accepted the request. */
	readonly onHandedOver: (stream: StalledStream) => void;
	/** Runs a function after a number of milliseconds, and returns a function that stops it; `setTimeoutAfterPoll` by default. */
	readonly startTimer?: typeof setTimeoutAfterPoll;
};

/** How long the stream is kept after the head of another server's answer, in milliseconds. Both servers work on the request meanwhile. */
export const handoverMilliseconds = 250;

/**
Keeps a stalled stream open until another server has continued it, or has begun to answer and the time of a handover has passed: a server that pauses may go on, and another one may reject the request.

@example
```ts
const stalled = new StalledAnswer({onContinue, onLost});
stalled.keep(stream);
const stream = stalled.take(); // if no other server continues it
```
*/
export class StalledAnswer {
	readonly #options: StalledAnswerOptions;
	#stream: StalledStream | undefined;
	#hasContinued = false;

	constructor(options: StalledAnswerOptions) {
		this.#options = options;
	}

	/** Whether a stream is kept. */
	get isKept(): boolean {
		return this.#stream !== undefined;
	}

	/** Whether the server of the kept stream has sent data again, or has ended the stream. */
	get hasContinued(): boolean {
		return this.#hasContinued;
	}

	/**
	Keeps a stream. If one is kept already, the given one is closed, since its server has sent no event of it.

	@param stream The stream, which is paused.
	*/
	keep(stream: StalledStream): void {
		const {message} = stream.received;
		if (this.#stream !== undefined) {
			message.destroy();
			return;
		}

		this.#stream = stream;
		// The data stays in the buffer of the stream until the stream is forwarded again.
		message.on('readable', this.#onContinue);
		message.on('close', this.#onClose);
	}

	/**
	Removes and returns the stream.

	@returns The stream; undefined if there is none.
	*/
	take(): StalledStream | undefined {
		const stream = this.#stream;
		this.#stream = undefined;
		this.#hasContinued = false;
		stream?.received.message.off('readable', this.#onContinue);
		stream?.received.message.off('close', this.#onClose);
		return stream;
	}

	/**
	Closes the stream after {@linkcode handoverMilliseconds}, unless its server sends data first. Called when another server has sent the head of its answer.

	@returns Stops it, for an answer of the other server that has ended.
	*/
	startHandover(): () => void {
		const {startTimer = setTimeoutAfterPoll, onHandedOver} = this.#options;
		const stream = this.#stream;
		if (stream === undefined) {
			return () => undefined;
		}

		return startTimer(handoverMilliseconds, () => {
			if (this.#stream === stream && !this.#hasContinued) {
				onHandedOver(stream);
				this.discard();
			}
		});
	}

	/** Closes the stream, because another server has continued it or the request has ended. */
	discard(): void {
		this.take()?.received.message.destroy();
	}

	readonly #onContinue = (): void => {
		if (!this.#hasContinued) {
			this.#hasContinued = true;
			this.#options.onContinue();
		}
	};

	readonly #onClose = (): void => {
		const stream = this.take();
		if (stream !== undefined) {
			this.#options.onLost(stream);
		}
	};
}
