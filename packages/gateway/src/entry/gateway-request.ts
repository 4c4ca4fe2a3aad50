import {type ModelId} from '@valehitch/core';

/** The name and value of a header, as received. */
export type Header = readonly [name: string, value: string];

/** A part of a prompt, identified for prompt caching. */
export type PromptPart = {
	readonly id: string;
	/** Its length in tokens. */
	readonly tokens: number;
};

/** A caller's request, parsed from the wire format. */
export type GatewayRequest = {
	/** The caller's id of this request; the backend server echoes it. */
	readonly id: string;
	readonly method: string;
	/** The path and query, unchanged. */
	readonly target: string;
	readonly path: string;
	readonly host: string;
	/** The headers to forward. */
	readonly headers: readonly Header[];
	readonly key: string | undefined;
	/** The caller's timeout, in milliseconds; undefined if not given. */
	readonly timeout: number | undefined;
	/** Whether the gateway chooses the model. */
	readonly choosesModel: boolean;
	/** The parts of the prompt in order, which other requests may share; empty for requests without a prompt. */
	readonly promptParts: readonly PromptPart[];
	readonly inputTokens: number;
	/** The maximum length of the answer, in tokens; 0 if it is not known. */
	readonly outputTokens: number;
	/** The caller's estimate of the length of the answer, in tokens, which may be far off; undefined if there is none. */
	readonly expectedTokens?: number | undefined;
	readonly session: string | undefined;
	/** The id of the last event that the caller received of an interrupted stream; undefined for a new stream. */
	readonly lastEventId: string | undefined;
};

/** The metadata sent to a backend server with a request. */
export type SendMetadata = {
	readonly server: string;
	/** The model; undefined if the caller chose it or the request needs none. */
	readonly model: ModelId | undefined;
	/** The time left until the deadline, in milliseconds. */
	readonly timeout: number;
	readonly workspace: string | undefined;
	/** From 0 for the most urgent to 9 for the least urgent; undefined for the default. */
	readonly urgency: number | undefined;
	readonly lastEventId: string | undefined;
	/** Whether the connection is kept open for further requests. */
	readonly keepsConnection: boolean;
};

/** What an answer says of the requests that its server takes from all instances together. */
export type NamedRateLimit
	= | {readonly type: 'unlimited'}
		| {readonly type: 'limited'; readonly requestsPerSecond: number}
	/** A limit that cannot be read. */
		| {readonly type: 'invalid'; readonly value: string};

/** What an answer says of the time for which its server wants no requests from this instance. */
export type RequestedPause
	= | {readonly type: 'none'}
		| {readonly type: 'requested'; readonly milliseconds: number}
	/** A time that cannot be read. */
		| {readonly type: 'invalid'; readonly value: string};

/** What an answer says of the rejections in a second beyond which its server falls over. */
export type ServerBrittleness
	= | {readonly type: 'none'}
		| {readonly type: 'brittle'; readonly rejectionsPerSecond: number}
	/** A number that cannot be read. */
		| {readonly type: 'invalid'; readonly value: string};

/** The parsed head of a backend server's answer. */
export type AnswerHead = {
	readonly status: number;
	/** The id of the request that the server answers; undefined if not given. */
	readonly requestId: string | undefined;
	/** Whether the server reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the answer shows that the address now belongs to another server. */
	readonly isFromOtherServer: boolean;
	/** Whether the answer has the server's signature. */
	readonly isSigned: boolean;
	/** Whether an intermediary encoded the body. */
	readonly isEncoded: boolean;
	/** The model's own confidence in its answer, from 0 to 100; undefined if it reports none. */
	readonly confidence: number | undefined;
	/** Whether the server is shutting down and wants no more requests. */
	readonly isDraining: boolean;
	readonly brittleness: ServerBrittleness;
	readonly rateLimit: NamedRateLimit;
	readonly pause: RequestedPause;
};
