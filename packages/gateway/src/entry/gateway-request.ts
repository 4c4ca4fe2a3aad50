import {type ModelId} from '@valehitch/core';

/** A header as it came: name and value. */
export type Header = readonly [name: string, value: string];

/** A part of a prompt. */
export type PromptPart = {
	readonly id: string;
	/** Its length in tokens. */
	readonly tokens: number;
};

/** What a caller asks for, read once from the wire. */
export type GatewayRequest = {
	/** The caller's id of this request; the backend server echoes it. */
	readonly id: string;
	readonly method: string;
	/** The path with the query, unchanged. */
	readonly target: string;
	readonly path: string;
	readonly host: string;
	/** The headers that are passed on. */
	readonly headers: readonly Header[];
	readonly key: string | undefined;
	/** How long the caller waits, in milliseconds; undefined where it does not say. */
	readonly patience: number | undefined;
	/** Whether the gateway chooses the model. */
	readonly choosesModel: boolean;
	/** The parts of the prompt that other requests share, in order; empty for plain requests. */
	readonly promptParts: readonly PromptPart[];
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly session: string | undefined;
	/** The last event that the caller has of a stream that broke; undefined for a new one. */
	readonly lastEventId: string | undefined;
};

/** What a backend server is told beside the request itself. */
export type SendFacts = {
	readonly server: string;
	/** The model; undefined where the caller named it or there is none. */
	readonly model: ModelId | undefined;
	/** Milliseconds that are left. */
	readonly patience: number;
	readonly workspace: string | undefined;
	/** Between 0 for the most urgent and 9; undefined for the default. */
	readonly urgency: number | undefined;
	readonly lastEventId: string | undefined;
	/** Whether the connection may carry further requests. */
	readonly keepsConnection: boolean;
};

/** What the head of a backend server's answer says. */
export type AnswerHead = {
	readonly status: number;
	/** The request that the server says it answers; undefined where it does not say. */
	readonly requestId: string | undefined;
	/** Whether the server says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another server now has the address. */
	readonly isOtherServer: boolean;
	/** Whether the answer bears the server's signature. */
	readonly isSigned: boolean;
	/** Whether something on the way encoded the body. */
	readonly isEncoded: boolean;
	/** The model's own opinion of the answer, from 0 to 100; undefined where there is none. */
	readonly confidence: number | undefined;
};
