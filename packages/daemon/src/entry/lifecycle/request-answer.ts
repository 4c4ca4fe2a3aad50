import {type ServerResponse} from 'node:http';
import {type StoredResponse} from '@valehitch/control';
import {
	type Failure, failure, outcomeOf, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type RequestTarget} from '@valehitch/routing';
import {type AnswerHead, type AnswerPiece} from '../attempt-output.js';
import {type EntryContext} from '../entry-context.js';
import {type Attempt} from './attempt-set.js';
import {CallerWriter} from './caller-writer.js';
import {toKeptAnswer} from './kept-answer.js';
import {type PartialAnswer, type RequestAdapter} from './request-adapter.js';

/** Options of a {@linkcode RequestAnswer}. */
export type RequestAnswerOptions = {
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly adapter: Pick<RequestAdapter, 'headersOf'>;
	/** Whether the answer is stored with a claim. */
	readonly claimed: boolean;
	readonly context: Pick<EntryContext, 'metrics' | 'timeline'>;
};

const keptAnswerBytes = 16_384;

/**
The answer of one request: writes it to the caller, and records what a resumed attempt continues and what is stored with a claim.

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
	readonly #storedPieces: AnswerPiece[] = [];

	constructor(options: RequestAnswerOptions) {
		this.#options = options;
		this.#writer = new CallerWriter(options);
	}

	/** Whether the answer can be resumed exactly after the part that the caller has received. */
	get isResumable(): boolean {
		return this.#resumable;
	}

	/** The part of the answer that the caller has received. */
	get partialAnswer(): PartialAnswer {
		return {text: this.#text, tokens: this.#tokens};
	}

	/**
	Writes a piece to the caller.

	@param attempt The attempt that produced it.
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
			this.#storedPieces.push(piece);
		}
	}

	/**
	Ends the answer, which is complete.

	@param attempt The attempt that completed it.
	@param target What the attempt ran on.
	*/
	finish(attempt: Attempt | undefined, target: RequestTarget): void {
		this.#begin(attempt, target);
		this.#writer.finish(attempt?.trailer ?? '');
	}

	/**
	Responds with a failure, counts the failure by kind and records it in the timeline.

	@param failed The failure.
	*/
	refuse(failed: Failure): void {
		const {context, requestId, workspace} = this.#options;
		context.metrics.increment('request.refused', {kind: failed.kind});
		context.timeline.record('request-refused', {requestId, workspace, details: {kind: failed.kind, outcome: outcomeOf(failed), message: failed.message}});
		this.#writer.refuse(failed);
	}

	/**
	Responds with the answer that is stored with a claim, or with a failure if it was too large to be stored.

	@param kept The stored answer.
	*/
	replay(kept: StoredResponse | undefined): void {
		if (kept?.body !== undefined) {
			this.#writer.replay(kept);
			return;
		}

		this.refuse(failure('outcome-unknown', 'The request with this idempotency key ran and was answered, but its answer was too large to be stored', {
			outcome: 'ran', details: {status: kept?.status, digest: kept?.digest, bytes: kept?.bytes},
		}));
	}

	/**
	Assembles the complete answer to store with a claim: the parts of earlier attempts, followed by that of the attempt that completed it.

	@param attempt The attempt that completed it.
	@param target What the attempt ran on.
	@returns The answer, or undefined if there is none.
	*/
	keptAnswer(attempt: Attempt | undefined, target: RequestTarget): StoredResponse | undefined {
		const head = this.#headOf(attempt, target);
		if (attempt === undefined || head === undefined) {
			return undefined;
		}

		const before = this.#storedPieces.filter(({offset}) => offset < attempt.resumeFrom);
		const payloads = [...before, ...attempt.pieces].map(({payload}) => payload);
		return toKeptAnswer({head, payloads: [...payloads, attempt.trailer], maximumBytes: keptAnswerBytes});
	}

	/** Waits until the caller can receive more data or has disconnected. */
	async waitForDrain(): Promise<void> {
		return this.#writer.waitForDrain();
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
