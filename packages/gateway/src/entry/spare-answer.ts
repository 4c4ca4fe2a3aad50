import {type Clock, type ModelId} from '@valehitch/core';
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

/** Until when an answer is kept, and what then happens. */
export type SpareAnswerOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** When the request ends, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** Called once when there is no time left for a better answer than the one that is kept. */
	readonly onDue: () => void;
};

/** The time before the end of a request at which a kept answer is passed on, in milliseconds: it was generated meanwhile, and a caller behind slow links still gets it. */
const passOnMilliseconds = 200;

/**
Keeps the answer of a smaller model, unread, until a better one has begun or there is no time left for one.

@example
```ts
const spare = new SpareAnswer({clock, deadlineAt, onDue});
spare.keep(stream);
const stream = spare.take(); // where no better one comes
```
*/
export class SpareAnswer {
	readonly #options: SpareAnswerOptions;
	#stream: SpareStream | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isDue = false;

	constructor(options: SpareAnswerOptions) {
		this.#options = options;
	}

	/** Whether there is no time left for a better answer than the one that was kept. */
	get isDue(): boolean {
		return this.#isDue;
	}

	/**
	Keeps an answer.

	@param stream The answer.
	*/
	keep(stream: SpareStream): void {
		const {clock, deadlineAt, onDue} = this.#options;
		this.#stream = stream;
		this.#timer ??= setTimeout(() => {
			this.#isDue = true;
			onDue();
		}, Math.max(0, deadlineAt - passOnMilliseconds - clock.monotonic()));
	}

	/**
	Hands the answer out; it is kept no more.

	@returns The answer, or undefined where there is none.
	*/
	take(): SpareStream | undefined {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const stream = this.#stream;
		this.#stream = undefined;
		return stream;
	}

	/** Ends the answer at its server, since a better one has begun or nobody waits any more. */
	drop(): void {
		this.take()?.received.message.destroy();
	}
}
