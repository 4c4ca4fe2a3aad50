import {type ServerResponse} from 'node:http';
import {type KeptAnswer} from '@valehitch/control';
import {
	type Failure, failure, outcomeOf, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type RequestTarget} from '@valehitch/routing';
import {type AnswerHead, type AnswerPiece} from '../attempt-output.js';
import {type EntryContext} from '../entry-context.js';
import {type Attempt} from './attempt-set.js';
import {CallerWriter} from './caller-writer.js';
import {toKeptAnswer} from './kept-answer.js';
import {type AnswerSoFar, type RequestAdapter} from './request-adapter.js';

/** What the answer of a request needs. */
export type RequestAnswerOptions = {
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly adapter: Pick<RequestAdapter, 'headersOf'>;
	/** Whether a claim keeps the answer. */
	readonly claimed: boolean;
	readonly context: Pick<EntryContext, 'metrics' | 'timeline'>;
};

const keptAnswerBytes = 16_384;

/**
The answer of one request as the caller gets it: what went out, what a resume goes on after, and what a claim keeps.

@example
```ts
answer.forward(attempt, piece, target);
answer.finish(attempt, target);
```
*/
export class RequestAnswer {
	readonly #options: RequestAnswerOptions;
	readonly #writer: CallerWriter;
	#text = '';
	#tokens = 0;
	#resumable = true;
	readonly #kept: AnswerPiece[] = [];

	constructor(options: RequestAnswerOptions) {
		this.#options = options;
		this.#writer = new CallerWriter(options);
	}

	/** Whether an answer can go on right after what the caller got. */
	get isResumable(): boolean {
		return this.#resumable;
	}

	/** What the caller got. */
	get soFar(): AnswerSoFar {
		return {text: this.#text, tokens: this.#tokens};
	}

	/**
	Writes a piece to the caller.

	@param attempt The attempt that brought it.
	@param piece The piece.
	@param target What the attempt ran on.
	*/
	forward(attempt: Attempt | undefined, piece: AnswerPiece, target: RequestTarget): void {
		this.#begin(attempt, target);
		this.#writer.write(piece.payload);
		this.#tokens += piece.tokens;
		if (piece.text === undefined) {
			this.#resumable = false;
		} else {
			this.#text += piece.text;
		}

		if (this.#options.claimed) {
			this.#kept.push(piece);
		}
	}

	/**
	Ends the answer, which is whole.

	@param attempt The attempt that completed it.
	@param target What the attempt ran on.
	*/
	finish(attempt: Attempt | undefined, target: RequestTarget): void {
		this.#begin(attempt, target);
		this.#writer.finish(attempt?.trailer ?? '');
	}

	/**
	Answers with a failure, counts it by kind and records it.

	@param failed The failure.
	*/
	refuse(failed: Failure): void {
		const {context, requestId, workspace} = this.#options;
		context.metrics.increment('request.refused', {kind: failed.kind});
		context.timeline.record('request-refused', {requestId, workspace, details: {kind: failed.kind, outcome: outcomeOf(failed), message: failed.message}});
		this.#writer.refuse(failed);
	}

	/**
	Answers with what a claim kept.

	@param kept The kept answer.
	*/
	replay(kept: KeptAnswer | undefined): void {
		if (kept?.body !== undefined) {
			this.#writer.replay(kept);
			return;
		}

		this.refuse(failure('outcome-unknown', 'Got an idempotency key whose request ran and was answered; its answer was too large to be kept', {
			outcome: 'ran', details: {status: kept?.status, digest: kept?.digest, bytes: kept?.bytes},
		}));
	}

	/**
	The whole answer as a claim keeps it: what earlier attempts brought, and then the attempt that completed it.

	@param attempt The attempt that completed it.
	@param target What the attempt ran on.
	@returns The answer, or undefined where there is none.
	*/
	keptAnswer(attempt: Attempt | undefined, target: RequestTarget): KeptAnswer | undefined {
		const head = this.#headOf(attempt, target);
		if (attempt === undefined || head === undefined) {
			return undefined;
		}

		const before = this.#kept.filter(({offset}) => offset < attempt.resumeFrom);
		const payloads = [...before, ...attempt.pieces].map(({payload}) => payload);
		return toKeptAnswer({head, payloads: [...payloads, attempt.trailer], maximumBytes: keptAnswerBytes});
	}

	/** Waits until the caller has room for more, or left. */
	async drained(): Promise<void> {
		return this.#writer.drained();
	}

	#begin(attempt: Attempt | undefined, target: RequestTarget): void {
		const head = this.#headOf(attempt, target);
		if (head !== undefined) {
			this.#writer.begin(head);
		}
	}

	#headOf(attempt: Attempt | undefined, target: RequestTarget): AnswerHead | undefined {
		const {requestId, adapter} = this.#options;
		return attempt?.head && {
			status: attempt.head.status,
			headers: {'Valehitch-Request-Id': requestId, ...adapter.headersOf(target), ...attempt.head.headers},
		};
	}
}
