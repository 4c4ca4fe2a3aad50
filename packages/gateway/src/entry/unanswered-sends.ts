import {type IncomingMessage} from 'node:http';
import {type ModelId} from '@valehitch/core';
import {type SecondSendReason} from '@valehitch/routing';
import {type SentAttempt, type SendOutcome} from './send-attempt.js';
import {type StartedSend} from './request-run-options.js';

/** A send that goes on while the request is sent to another server too. */
export type UnansweredSend = StartedSend & {
	readonly attempt: SentAttempt;
	readonly model: ModelId | undefined;
	/** Why another server was asked. */
	readonly reason: SecondSendReason;
	/** Whether its server sent data on any connection between the send and that moment. */
	readonly wasServerHeard: boolean;
};

/** Options of {@linkcode UnansweredSends}. */
export type UnansweredSendsOptions = {
	/** Whether the head of an answer is that of a success that can be forwarded. */
	readonly isGood: (message: IncomingMessage) => boolean;
	/** Called when the head of such an answer arrives from one of them. */
	readonly onAnswered: () => void;
	/** Called when one of them has ended in another way. */
	readonly onFailed: (send: UnansweredSend, outcome: SendOutcome) => void;
};

/**
Keeps the sends of a request that have not been answered while the request is sent elsewhere too: their servers may only be slow, and the answer that begins first counts.

@example
```ts
const unanswered = new UnansweredSends({isGood, onAnswered, onFailed});
unanswered.keep(send);
const send = unanswered.take(); // if it was answered first, or no other server answers
```
*/
export class UnansweredSends {
	readonly #options: UnansweredSendsOptions;
	readonly #sends = new Set<UnansweredSend>();
	#answered: UnansweredSend | undefined;

	constructor(options: UnansweredSendsOptions) {
		this.#options = options;
	}

	/** The sends, in the order in which they were made. */
	get sends(): Iterable<UnansweredSend> {
		return this.#sends;
	}

	/** Whether any send is kept. */
	get isAnyKept(): boolean {
		return this.#sends.size > 0;
	}

	/** Whether one of them is being answered. */
	get isAnswered(): boolean {
		return this.#answered !== undefined;
	}

	/**
	Keeps a send.

	@param send The send.
	*/
	keep(send: UnansweredSend): void {
		this.#sends.add(send);
		void this.#awaitOutcome(send);
	}

	/**
	Removes and returns the send that is being answered, or the earliest one.

	@returns The send; undefined if none is kept.
	*/
	take(): UnansweredSend | undefined {
		const send = this.#answered ?? [...this.#sends].at(0);
		if (send !== undefined) {
			this.#sends.delete(send);
		}

		this.#answered = undefined;
		return send;
	}

	/** Cancels all of them, because another server has answered or the request has ended. */
	discard(): void {
		for (const {attempt, load} of this.#sends) {
			attempt.cancel();
			load?.end();
		}

		this.#sends.clear();
		this.#answered = undefined;
	}

	async #awaitOutcome(send: UnansweredSend): Promise<void> {
		const outcome = await send.attempt.outcome;
		if (!this.#sends.has(send)) {
			return;
		}

		if (outcome.type !== 'head' || !this.#options.isGood(outcome.message)) {
			this.#sends.delete(send);
			this.#options.onFailed(send, outcome);
			return;
		}

		// Its connection may break before the answer is read.
		outcome.message.on('error', () => undefined);
		if (this.#answered === undefined) {
			this.#answered = send;
			this.#options.onAnswered();
		}
	}
}
