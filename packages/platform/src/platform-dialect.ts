import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {errorResponses, outcomeOf} from '@valehitch/core';
import {
	type Dialect, type GatewayRequest, type Header, type PromptPart, type SendMetadata,
} from '@valehitch/gateway';
import {hasTransferCoding} from '@valehitch/transport';
import {decodeBrittleness} from './decode-brittleness.js';
import {decodePause} from './decode-pause.js';
import {decodeRateLimit} from './decode-rate-limit.js';
import {connectionHeaders, reservedHeaders, wireHeader} from './wire-header.js';

/** The value of the model header that leaves the choice of the model to the gateway. */
const anyModel = '*';
const bearerPattern = /^bearer[ ]+(.+)$/iv;
const millisecondsPerSecond = 1000;
/** More tokens than any model reads. */
const maximumTokens = 4_194_304;
/** The status of a backend server that another one was expected to be. */
const otherServerStatus = 421;
/** The status of a backend server that rejects a request for its own load. */
const unavailableStatus = 503;

/**
The dialect of the platform: its request headers and answers.
*/
export const platformDialect: Dialect = {
	readRequest,
	sendHeaders,
	readAnswer(status, headers) {
		const confidence = firstValue(headers[wireHeader.confidence]);
		return {
			status,
			requestId: firstValue(headers[wireHeader.requestId]),
			isNotRun: headers[wireHeader.notRun] !== undefined || status === otherServerStatus,
			isFromOtherServer: status === otherServerStatus,
			isSigned: headers[wireHeader.signature] !== undefined,
			// A body in a transfer coding would be passed on without the header that names it.
			isEncoded: headers[wireHeader.encoding] !== undefined || hasTransferCoding(headers),
			confidence: confidence === undefined ? undefined : Number(confidence),
			isDraining: firstValue(headers[wireHeader.leaving]) === '1',
			pause: status === unavailableStatus ? decodePause(firstValue(headers[wireHeader.pause])) : {type: 'none'},
			brittleness: decodeBrittleness(firstValue(headers[wireHeader.brittleness])),
			rateLimit: decodeRateLimit(firstValue(headers[wireHeader.rateLimit])),
		};
	},
	identityHeaders: ({id, host, port}) => [['Host', `${host}:${port}`], ['Expect-Instance', id], ['Connection', 'close']],
	isAnswerOf(server, {status, headers}) {
		const answering = firstValue(headers[wireHeader.answeringServer]);
		return status !== otherServerStatus && (answering === undefined || answering === server);
	},
	answerHeaders: message => headerPairs(message).filter(([name]) => !connectionHeaders.has(name.toLowerCase())),
	refuse(request, failed) {
		const {title, status} = errorResponses[failed.kind];
		const body = JSON.stringify({
			kind: failed.kind, title, detail: failed.message, outcome: outcomeOf(failed),
		});
		const retryAfter: readonly Header[] = failed.retryAfterMilliseconds === undefined ? [] : [['Retry-After', String(failed.retryAfterMilliseconds / millisecondsPerSecond)]];
		return {
			status,
			headers: [['Content-Type', 'application/json'], ['Content-Length', String(Buffer.byteLength(body))], ['Attempt-Id', request.id], ...retryAfter],
			body,
		};
	},
};

function readRequest(message: IncomingMessage): GatewayRequest {
	const {headers, url = '/', method = 'GET'} = message;
	const key = bearerPattern.exec(headers.authorization ?? '')?.[1];
	const timeout = firstValue(headers[wireHeader.timeout]);
	const [input = '0', output = '0'] = (firstValue(headers[wireHeader.tokens]) ?? '').split(',');
	return {
		id: firstValue(headers[wireHeader.requestId]) ?? '',
		method,
		target: url,
		path: url.split('?', 1)[0] ?? url,
		host: (headers.host ?? '').replace(/:\d+$/v, ''),
		headers: headerPairs(message).filter(([name]) => isForwarded(name.toLowerCase(), message)),
		key,
		timeout: timeout === undefined ? undefined : Number(timeout),
		choosesModel: headers[wireHeader.model] === anyModel,
		promptParts: parsePromptParts(firstValue(headers[wireHeader.promptParts])),
		inputTokens: parseTokens(input),
		outputTokens: parseTokens(output),
		expectedTokens: parseTokens(firstValue(headers[wireHeader.lengthHint]) ?? '') || undefined,
		session: firstValue(headers[wireHeader.session]),
		lastEventId: firstValue(headers[wireHeader.lastEventId]),
	};
}

/** Reads a number of tokens; what is not one counts as 0, and what no model could read as the largest number. */
function parseTokens(text: string): number {
	const tokens = Number(text);
	return tokens > 0 ? Math.min(tokens, maximumTokens) : 0;
}

/** Checks whether a header of the caller is forwarded. A model chosen by the caller is; the value for any model is replaced. */
function isForwarded(name: string, {headers}: IncomingMessage): boolean {
	if (name === wireHeader.model) {
		return headers[wireHeader.model] !== anyModel;
	}

	return !reservedHeaders.has(name) && !connectionHeaders.has(name) && !connectionOptions(headers.connection).has(name);
}

/** Returns the hop-by-hop headers that the Connection header lists. */
function connectionOptions(value = ''): ReadonlySet<string> {
	return new Set(value.toLowerCase().split(',').map(name => name.trim()));
}

function sendHeaders({headers}: GatewayRequest, {server, model, timeout, workspace, urgency, lastEventId, keepsConnection}: SendMetadata): readonly Header[] {
	const gatewayHeaders: Array<readonly [name: string, value: string | undefined]> = [
		['Deadline-Ms', String(timeout)],
		['Expect-Instance', server],
		['Tenant', workspace],
		['Model', model],
		['Request-Priority', urgency === undefined ? undefined : String(urgency)],
		['Last-Event-Id', lastEventId],
	];
	const sent: Header[] = [...headers];
	for (const [name, value] of gatewayHeaders) {
		if (value !== undefined) {
			sent.push([name, value]);
		}
	}

	return [...sent, ['Connection', keepsConnection ? 'keep-alive' : 'close']];
}

/** Parses the parts of the prompt; a part without a length counts as empty. */
function parsePromptParts(value: string | undefined): readonly PromptPart[] {
	if (value === undefined) {
		return [];
	}

	return value.split(',').map(part => {
		const [id = '', tokens = '0'] = part.split(':');
		return {id: id.trim(), tokens: Number(tokens) || 0};
	});
}

function headerPairs({rawHeaders}: IncomingMessage): readonly Header[] {
	const pairs: Header[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		pairs.push([rawHeaders[index]!, rawHeaders[index + 1]!]);
	}

	return pairs;
}

function firstValue(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}
