import {type TokenUsage} from '@valehitch/core';

/** The status and headers of an answer, as they are sent to the caller. */
export type AnswerHead = {
	readonly status: number;
	/** Headers forwarded to the caller, such as `Content-Type`. */
	readonly headers: Readonly<Record<string, string>>;
};

/** A piece of an answer. */
export type AnswerPiece = {
	/** The position in the whole answer: in UTF-16 code units of the text for a streamed chat, otherwise in bytes. */
	readonly offset: number;
	readonly length: number;
	readonly tokens: number;
	/** The data that is written to the caller. */
	readonly payload: string | Uint8Array;
	/** The generated text, which a resumed attempt continues; undefined if the answer cannot be resumed exactly. */
	readonly text?: string;
};

/** An output of an attempt. Every type except `head`, `piece` and `silent` is terminal. */
export type AttemptOutput
	/** No byte of the request was sent. */
	= | {readonly type: 'never-sent'; readonly message: string}
		/** The last check before the send did not allow it any more, so no byte of the request was sent. */
		| {readonly type: 'withheld'; readonly message: string}
		/** The server reported that it did not run the request. */
		| {readonly type: 'not-run'; readonly message: string; readonly retryAfterMilliseconds?: number}
		| {readonly type: 'head'; readonly head: AnswerHead}
		| {readonly type: 'piece'; readonly piece: AnswerPiece}
		/** The answer is complete. The offset is its length; the trailer is written after the last piece. */
		| {readonly type: 'complete'; readonly offset: number; readonly usage: TokenUsage; readonly trailer: string}
		/** The server reported that the request ran and failed, or its response proves it. */
		| {readonly type: 'failed'; readonly message: string}
		/** The connection was lost after the request was sent. */
		| {readonly type: 'broken'; readonly message: string}
		/** A reused connection was lost before the answer began: the server closed it as idle, or exited. */
		| {readonly type: 'kept-connection-lost'; readonly message: string}
		| SilentOutput;

/** The server has sent nothing for longer than expected, so that another one is asked. */
export type SilentOutput = {
	readonly type: 'silent';
	readonly message: string;
	/** The time since the request was sent, or since its last data. */
	readonly silentMilliseconds: number;
	/** The reason of the decision to ask another server, and its inputs if the answer had not begun. */
	readonly details?: Readonly<Record<string, unknown>>;
};
