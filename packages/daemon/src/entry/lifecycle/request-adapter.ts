import {
	type Failure, type Micros, type ServerId, type TokenUsage,
} from '@valehitch/core';
import {type AttemptAction, type DispatchDenialReason, type RequestTarget} from '@valehitch/routing';
import {type Either} from 'purify-ts';
import {type AttemptOutput} from '../attempt-output.js';
import {type CompleteAnswer} from '../checked-answer.js';

/** The action that requests a server for an attempt. */
export type ChooseServerAction = Extract<AttemptAction, {readonly type: 'choose-server'}>;

/** The action that requests the dispatch of an attempt. */
export type DispatchAction = Extract<AttemptAction, {readonly type: 'dispatch'}>;

/** The server for an attempt, or the reason why there is none. */
export type ServerChoice
	= | {readonly type: 'chosen'; readonly server: ServerId}
		| {readonly type: 'none'; readonly reason: 'none' | 'budget'; readonly retryAfterMilliseconds: number};

/** The part of an answer that a resumed attempt continues. */
export type PartialAnswer = {
	readonly text: string;
	readonly tokens: number;
};

/** An attempt to send, after the check before its dispatch. */
export type SendOptions = {
	readonly dispatch: DispatchAction;
	readonly address: string;
	readonly signal: AbortSignal;
	/** Checks whether the target and the server may still receive the request, right before it is written. */
	readonly mayStillSend: () => boolean;
	readonly partialAnswer: PartialAnswer;
};

/** The decision on an answer of a cascade. */
export type Judgement
	= | {readonly verdict: 'accepted'}
		| {readonly verdict: 'escalated'; readonly target: RequestTarget; readonly judged: boolean};

/** The operations that differ between chat requests and calls to plain services. */
export type RequestAdapter = {
	/** Chooses a server for an attempt. */
	readonly chooseServer: (action: ChooseServerAction) => ServerChoice;
	/** Checks a target right before a dispatch; returns why it may not be used, or undefined if it may. */
	readonly checkDispatch: (target: RequestTarget) => DispatchDenialReason | undefined;
	/** Sends an attempt. */
	readonly send: (options: SendOptions) => AsyncIterable<AttemptOutput>;
	/** Chooses another target after one became unavailable before any dispatch. */
	readonly chooseVersion: (lost: RequestTarget) => Either<Failure, {readonly target: RequestTarget; readonly judged: boolean}>;
	/** Decides whether the answer of a cascade's target is accepted. */
	readonly judge: (target: RequestTarget, answer: CompleteAnswer) => Judgement;
	/** Returns the cost of an attempt on a target. */
	readonly costOf: (target: RequestTarget, usage: TokenUsage) => Micros;
	/** Returns the headers that tell the caller which target answered. */
	readonly headersOf: (target: RequestTarget) => Readonly<Record<string, string>>;
};
