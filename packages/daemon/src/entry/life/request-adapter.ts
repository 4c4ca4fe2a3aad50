import {
	type Failure, type Micros, type ServerId, type TokenUsage,
} from '@valehitch/core';
import {type AttemptAction, type DispatchDenial, type RequestTarget} from '@valehitch/routing';
import {type Either} from 'purify-ts';
import {type AttemptOutput} from '../attempt-output.js';
import {type JudgedAnswer} from '../checked-answer.js';

/** Asks for a server for an attempt. */
export type ChooseServerAction = Extract<AttemptAction, {readonly type: 'choose-server'}>;

/** Asks for the dispatch of an attempt. */
export type DispatchAction = Extract<AttemptAction, {readonly type: 'dispatch'}>;

/** A server for an attempt, or why there is none. */
export type ServerChoice
	= | {readonly type: 'chosen'; readonly server: ServerId}
		| {readonly type: 'none'; readonly reason: 'none' | 'budget'; readonly retryAfterMilliseconds: number};

/** What a resumed answer goes on after. */
export type AnswerSoFar = {
	readonly text: string;
	readonly tokens: number;
};

/** One attempt that passed the check. */
export type SendOptions = {
	readonly dispatch: DispatchAction;
	readonly address: string;
	readonly signal: AbortSignal;
	readonly before: AnswerSoFar;
};

/** The word on an answer of a cascade. */
export type Judgement
	= | {readonly verdict: 'accepted'}
		| {readonly verdict: 'escalated'; readonly target: RequestTarget; readonly judged: boolean};

/** What differs between a chat and a call to a plain service. */
export type RequestAdapter = {
	/** Chooses a server for an attempt. */
	readonly chooseServer: (action: ChooseServerAction) => ServerChoice;
	/** The check right before a dispatch: why the target may not get it, or undefined. */
	readonly denialOf: (target: RequestTarget) => DispatchDenial | undefined;
	/** Sends an attempt. */
	readonly send: (options: SendOptions) => AsyncIterable<AttemptOutput>;
	/** Chooses another target after one was lost before any dispatch. */
	readonly chooseVersion: (lost: RequestTarget) => Either<Failure, {readonly target: RequestTarget; readonly judged: boolean}>;
	/** Judges the answer of a target of a cascade. */
	readonly judge: (target: RequestTarget, answer: JudgedAnswer) => Judgement;
	/** What an attempt on a target costs. */
	readonly costOf: (target: RequestTarget, usage: TokenUsage) => Micros;
	/** The headers that tell the caller what answered. */
	readonly headersOf: (target: RequestTarget) => Readonly<Record<string, string>>;
};
