import {type DispatchDenialReason} from '@valehitch/routing';
import {type AnswerHead, type AnswerPiece, type AttemptOutput} from '../attempt-output.js';

/** Options of an {@linkcode AttemptSet}. */
export type AttemptSetOptions = {
	/** Called with each output of an attempt that is not cancelled. */
	readonly onOutput: (attempt: number, output: AttemptOutput) => void;
	/** Called with an error that a call threw; the attempt is reported as broken. */
	readonly onError: (error: unknown) => void;
	/** Waits until the caller can receive more data. */
	readonly waitForDrain: () => Promise<void>;
};

/** A call to a backend server, which the signal aborts. */
export type AttemptCall = (signal: AbortSignal) => AsyncIterable<AttemptOutput>;

/** The state of one attempt. */
export type Attempt = {
	readonly controller: AbortController;
	/** The offset in the answer at which the attempt began. */
	readonly resumeFrom: number;
	head: AnswerHead | undefined;
	trailer: string;
	/** The buffered pieces of the answer. */
	pieces: AnswerPiece[];
	/** Whether the call has ended, so that there is nothing to cancel. */
	hasEnded: boolean;
	/** Why the last check right before the send did not allow it. */
	denial?: DispatchDenialReason | undefined;
};

/** Options of {@linkcode AttemptSet.start}. */
export type StartAttemptOptions = {
	readonly number: number;
	readonly resumeFrom: number;
	readonly call: AttemptCall;
};

/**
The attempts of one request, that is, its calls to backend servers.

@example
```ts
await attempts.start({number: 1, resumeFrom: 0, call: signal => callEngine({...call, signal})});
attempts.cancel(1);
```
*/
export class AttemptSet {
	readonly #options: AttemptSetOptions;
	readonly #attempts = new Map<number, Attempt>();

	constructor(options: AttemptSetOptions) {
		this.#options = options;
	}

	/**
	Returns an attempt.

	@param number The attempt's number.
	@returns The attempt, or undefined if it was cancelled or not started.
	*/
	get(number: number): Attempt | undefined {
		return this.#attempts.get(number);
	}

	/**
	Starts an attempt and forwards its outputs as fast as the caller receives them.

	@param options The attempt's number, its offset and the call.
	@returns Resolves when the attempt has ended.
	*/
	async start({number, resumeFrom, call}: StartAttemptOptions): Promise<void> {
		const attempt: Attempt = {
			controller: new AbortController(), resumeFrom, head: undefined, trailer: '', pieces: [], hasEnded: false,
		};
		this.#attempts.set(number, attempt);
		try {
			await this.#pump(number, attempt, call);
		} catch (error) {
			this.#options.onError(error);
			this.#forward(number, attempt, {type: 'broken', message: 'Unexpected error in the request adapter'});
		}

		attempt.hasEnded = true;
	}

	/**
	Records the result of the last check of an attempt.

	@param number The attempt's number.
	@param denial Why it may not be sent; undefined if it may.
	*/
	recordDenial(number: number, denial: DispatchDenialReason | undefined): void {
		const attempt = this.#attempts.get(number);
		if (attempt !== undefined) {
			attempt.denial = denial;
		}
	}

	/**
	Cancels an attempt: its connection is destroyed and its outputs are not forwarded any more.

	@param number The attempt's number.
	*/
	cancel(number: number): void {
		const attempt = this.#attempts.get(number);
		this.#attempts.delete(number);
		if (attempt?.hasEnded === false) {
			attempt.controller.abort();
		}
	}

	/** Cancels all attempts. */
	cancelAll(): void {
		for (const number of this.#attempts.keys()) {
			this.cancel(number);
		}
	}

	async #pump(number: number, attempt: Attempt, call: AttemptCall): Promise<void> {
		for await (const output of call(attempt.controller.signal)) {
			if (attempt.controller.signal.aborted) {
				return;
			}

			this.#forward(number, attempt, output);
			await this.#options.waitForDrain();
		}
	}

	#forward(number: number, attempt: Attempt, output: AttemptOutput): void {
		if (attempt.controller.signal.aborted) {
			return;
		}

		if (output.type === 'head') {
			attempt.head = output.head;
		} else if (output.type === 'complete') {
			attempt.trailer = output.trailer;
		}

		this.#options.onOutput(number, output);
	}
}
