import {type ModelId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {type AnswerHead} from './gateway-request.js';
import {type ReceivedHead} from './send-attempt.js';

/** A stream of a smaller model that has begun: nothing of it was passed on. */
export type SpareStream = {
	readonly server: ServerRecord;
	readonly model: ModelId | undefined;
	readonly received: ReceivedHead;
	readonly head: AnswerHead;
	/** The time to its head, in milliseconds. */
	readonly latency: number;
};

/**
Keeps the answer of a smaller model, unread, until a better one has begun.

@example
```ts
const spare = new SpareAnswer();
spare.keep(stream);
const stream = spare.take(); // where no better one comes
```
*/
export class SpareAnswer {
	#stream: SpareStream | undefined;

	/** Whether there is an answer. */
	get isKept(): boolean {
		return this.#stream !== undefined;
	}

	/**
	Keeps an answer.

	@param stream The answer.
	*/
	keep(stream: SpareStream): void {
		this.#stream = stream;
	}

	/**
	Hands the answer out; it is kept no more.

	@returns The answer, or undefined where there is none.
	*/
	take(): SpareStream | undefined {
		const stream = this.#stream;
		this.#stream = undefined;
		return stream;
	}

	/** Ends the answer at its server, since a better one has begun or nobody waits any more. */
	drop(): void {
		this.take()?.received.message.destroy();
	}
}
