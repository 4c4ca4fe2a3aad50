import {type AnswerHead, type AnswerPiece, type AttemptOutput} from '../attempt-output.js';

/** What the attempts of a request need. */
export type AttemptSetOptions = {
	/** Takes each output of an attempt that is not cancelled. */
	readonly onOutput: (attempt: number, output: AttemptOutput) => void;
	/** Told of an error that a call threw; the attempt counts as broken. */
	readonly onError: (error: unknown) => void;
	/** Waits until the caller has room for more. */
	readonly drained: () => Promise<void>;
};

/** A call to a backend server, which the signal ends. */
export type AttemptCall = (signal: AbortSignal) => AsyncIterable<AttemptOutput>;

/** One attempt, as far as the adapters keep it. */
export type Attempt = {
	readonly controller: AbortController;
	/** The offset at which it began. */
	readonly resumeFrom: number;
	head: AnswerHead | undefined;
	trailer: string;
	/** The pieces that are held. */
	pieces: AnswerPiece[];
	/** Whether nothing more comes of it, so that nothing is left to cancel. */
	isOver: boolean;
};

/** How to start an attempt. */
export type StartAttemptOptions = {
	readonly number: number;
	readonly resumeFrom: number;
	readonly call: AttemptCall;
};

/**
The calls to backend servers that are in progress for one request.

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
	Finds an attempt.

	@param number The attempt's number.
	@returns The attempt, or undefined where it was cancelled or never sent.
	*/
	get(number: number): Attempt | undefined {
		return this.#attempts.get(number);
	}

	/**
	Starts an attempt and hands its outputs on, as fast as the caller takes them.

	@param options Which attempt, and the call.
	@returns When nothing more comes of the attempt.
	*/
	async start({number, resumeFrom, call}: StartAttemptOptions): Promise<void> {
		const attempt: Attempt = {
			controller: new AbortController(), resumeFrom, head: undefined, trailer: '', pieces: [], isOver: false,
		};
		this.#attempts.set(number, attempt);
		try {
			await this.#pump(number, attempt, call);
		} catch (error) {
			this.#options.onError(error);
			this.#handOn(number, attempt, {type: 'broken', message: 'The adapter failed'});
		}

		attempt.isOver = true;
	}

	/**
	Ends an attempt: its connection is destroyed and nothing of it is handed on.

	@param number The attempt's number.
	*/
	cancel(number: number): void {
		const attempt = this.#attempts.get(number);
		this.#attempts.delete(number);
		if (attempt?.isOver === false) {
			attempt.controller.abort();
		}
	}

	/** Ends all attempts. */
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

			this.#handOn(number, attempt, output);
			await this.#options.drained();
		}
	}

	#handOn(number: number, attempt: Attempt, output: AttemptOutput): void {
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
