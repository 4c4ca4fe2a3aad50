import {type ServerResponse} from 'node:http';
import {type KeptAnswer} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {answerProblem, toProblem} from '@valehitch/transport';
import {type AnswerHead} from '../attempt-output.js';

/** What the writer needs. */
export type CallerWriterOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
};

/**
Writes one answer to the caller.

@example
```ts
writer.begin(head);
writer.write(payload);
writer.finish('');
```
*/
export class CallerWriter {
	readonly #response: ServerResponse;
	readonly #requestId: string;
	#head: AnswerHead | undefined;

	constructor({response, requestId}: CallerWriterOptions) {
		this.#response = response;
		this.#requestId = requestId;
	}

	/**
	Begins the answer; does nothing when it has begun.

	@param head The status and the headers.
	*/
	begin(head: AnswerHead): void {
		if (this.#head === undefined && !this.#response.headersSent) {
			this.#head = head;
			this.#response.writeHead(head.status, head.headers);
		}
	}

	/**
	Writes a piece.

	@param payload The piece.
	*/
	write(payload: string | Uint8Array): void {
		this.#response.write(payload);
	}

	/**
	Ends an answer that is whole.

	@param trailer What comes after the last piece.
	*/
	finish(trailer: string): void {
		if (trailer === '') {
			this.#response.end();
			return;
		}

		this.#response.end(trailer);
	}

	/**
	Answers with a failure; an answer that has begun is ended so that it cannot be taken for a whole one.

	@param failed The failure.
	*/
	refuse(failed: Failure): void {
		if (!this.#response.headersSent) {
			answerProblem(this.#response, failed, {requestId: this.#requestId});
			return;
		}

		if (this.#head?.headers['Content-Type'] !== 'text/event-stream') {
			this.#response.destroy();
			return;
		}

		this.#response.write(`data: ${JSON.stringify(toProblem(failed, {requestId: this.#requestId}))}\n\n`, () => {
			this.#response.destroy();
		});
	}

	/**
	Answers with what an earlier request under the same key was answered.

	@param answer The kept answer, with its body.
	*/
	replay(answer: KeptAnswer): void {
		this.#response.writeHead(answer.status, {...answer.headers, 'Valehitch-Replayed': 'true'});
		this.#response.end(answer.body);
	}

	/** Waits until the caller has room for more, or left. */
	async drained(): Promise<void> {
		const response = this.#response;
		if (!response.writableNeedDrain || response.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			const settle = (): void => {
				response.off('drain', settle);
				response.off('close', settle);
				resolve();
			};

			response.on('drain', settle);
			response.on('close', settle);
		});
	}
}
