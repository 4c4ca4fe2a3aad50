import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Failure, type ServerId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {
	type AnswerHead, type GatewayRequest, type Header, type SendMetadata,
} from './gateway-request.js';

/** An answer that the gateway generates itself. */
export type GeneratedAnswer = {
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: string;
};

/**
The wire format of requests and answers. It is supplied by an adapter, which contains no routing logic.
*/
export type Dialect = {
	/** Parses the head of a request. */
	readonly readRequest: (message: IncomingMessage) => GatewayRequest;
	/** Returns the headers to send to a backend server. */
	readonly sendHeaders: (request: GatewayRequest, facts: SendMetadata) => readonly Header[];
	/** Parses the head of a backend server's answer. */
	readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
	/** Returns the headers of a health check that no server but the given one answers. */
	readonly identityHeaders: (server: Pick<ServerRecord, 'id' | 'host' | 'port'>) => readonly Header[];
	/** Checks whether the answer to such a health check is the given server's own. */
	readonly isAnswerOf: (server: ServerId, answer: {readonly status: number; readonly headers: IncomingHttpHeaders}) => boolean;
	/** Returns the headers of a backend server's answer that are forwarded to the caller. */
	readonly answerHeaders: (message: IncomingMessage) => readonly Header[];
	/** Returns the answer to a request that failed in the gateway. */
	readonly refuse: (request: GatewayRequest, failed: Failure) => GeneratedAnswer;
};
