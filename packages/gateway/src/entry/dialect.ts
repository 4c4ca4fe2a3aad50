import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Failure} from '@valehitch/core';
import {
	type AnswerHead, type GatewayRequest, type Header, type SendFacts,
} from './gateway-request.js';

/** An answer of the gateway's own. */
export type OwnAnswer = {
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: string;
};

/**
How requests and answers look on the wire; an adapter supplies it, and decides nothing.
*/
export type Dialect = {
	/** Reads the head of a request. */
	readonly readRequest: (message: IncomingMessage) => GatewayRequest;
	/** The headers that a backend server gets. */
	readonly sendHeaders: (request: GatewayRequest, facts: SendFacts) => readonly Header[];
	/** Reads the head of a backend server's answer. */
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
	/** The headers of a backend server's answer that the caller gets. */
	readonly answerHeaders: (message: IncomingMessage) => readonly Header[];
	/** The answer to a request that failed here. */
	readonly refuse: (request: GatewayRequest, failed: Failure) => OwnAnswer;
};
