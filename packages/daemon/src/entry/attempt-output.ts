import {type TokenUsage} from '@valehitch/core';

/** The head of an answer, as the caller is to get it. */
export type AnswerHead = {
	readonly status: number;
	/** Headers to hand on, such as `Content-Type`. */
	readonly headers: Readonly<Record<string, string>>;
};

/** A piece of an answer. */
export type AnswerPiece = {
	/** Counts from the start of the whole answer; for a streamed chat in UTF-16 code units of its text, else in bytes. */
	readonly offset: number;
	readonly length: number;
	readonly tokens: number;
	/** What the caller gets. */
	readonly payload: string | Uint8Array;
	/** The text that a resume goes on after; undefined where the answer cannot be resumed exactly. */
	readonly text?: string;
};

/** What comes of one attempt, in order; every type but `head`, `piece` and `silent` is the last. */
export type AttemptOutput
	/** No byte of the request left. */
	= | {readonly type: 'never-sent'; readonly message: string}
		/** The server's own word that it did not run the request. */
		| {readonly type: 'not-run'; readonly message: string; readonly retryAfterMilliseconds?: number}
		| {readonly type: 'head'; readonly head: AnswerHead}
		| {readonly type: 'piece'; readonly piece: AnswerPiece}
		/** The answer is whole; the offset is its length, and the trailer comes after the last piece. */
		| {readonly type: 'complete'; readonly offset: number; readonly usage: TokenUsage; readonly trailer: string}
		/** The server's own word, or proof, that the request ran and failed. */
		| {readonly type: 'failed'; readonly message: string}
		/** The connection broke after the request was sent. */
		| {readonly type: 'broken'; readonly message: string}
		/** A kept connection broke before the answer began: the server closed it at that moment, or ended. */
		| {readonly type: 'kept-connection-lost'; readonly message: string}
		/** Nothing came for too long; more may still come. */
		| {readonly type: 'silent'; readonly message: string};
