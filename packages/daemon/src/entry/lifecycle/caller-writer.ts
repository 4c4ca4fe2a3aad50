import {type ServerResponse} from 'node:http';
import {type StoredResponse} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {abortResponse, sendProblem, toProblemDetails} from '@valehitch/transport';
import {type AnswerHead} from '../attempt-output.js';

/** Options of a {@linkcode CallerWriter}. */
export type CallerWriterOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
};

/**
Writes the answer of one request to the caller.

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
	Sends the status and headers, unless they have been sent.

	@param head The status and the headers.
	*/
	begin(head: AnswerHead): void {
		if (this.#head === undefined && !this.#response.headersSent) {
			this.#head = head;
			this.#response.writeHead(head.status, head.headers);
		}
	}

	/**
	Writes a piece of the answer.

	@param payload The piece.
	*/
	write(payload: string | Uint8Array): void {
		this.#response.write(payload);
	}

	/**
	Ends a complete answer.

	@param trailer The data after the last piece.
	*/
	finish(trailer: string): void {
		if (trailer === '') {
			this.#response.end();
			return;
		}

		this.#response.end(trailer);
	}

	/**
	Responds with a failure. An answer that has begun is aborted, so that the caller cannot mistake it for a complete one.

	@param failed The failure.
	*/
	refuse(failed: Failure): void {
		if (!this.#response.headersSent) {
			sendProblem(this.#response, failed, {requestId: this.#requestId});
			return;
		}

		if (this.#head?.headers['Content-Type'] !== 'text/event-stream') {
			abortResponse(this.#response);
			return;
		}

		this.#response.write(`data: ${JSON.stringify(toProblemDetails(failed, {requestId: this.#requestId}))}\n\n`, () => {
			abortResponse(this.#response);
		});
	}

	/**
	Responds with the stored answer of an earlier request with the same idempotency key.

	@param answer The stored answer, with its body.
	*/
	replay(answer: StoredResponse): void {
		this.#response.writeHead(answer.status, {...answer.headers, 'Valehitch-Replayed': 'true'});
		this.#response.end(answer.body);
	}

	/** Waits until the caller can receive more data or has disconnected. */
	async waitForDrain(): Promise<void> {
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
