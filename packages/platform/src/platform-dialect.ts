import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {errorAnswers, outcomeOf} from '@valehitch/core';
import {
	type Dialect, type GatewayRequest, type Header, type PromptPart, type SendFacts,
} from '@valehitch/gateway';
import {connectionHeaders, reservedHeaders, wireHeader} from './wire-header.js';

/** The value of the model header with which the caller leaves the choice to the gateway. */
const anyModel = '*';
const bearerPattern = /^bearer[ ]+(.+)$/iv;
const millisecondsPerSecond = 1000;

/**
The headers and answers of the platform's requests.
*/
export const platformDialect: Dialect = {
	readRequest,
	sendHeaders,
	readAnswer(status, headers) {
		const confidence = text(headers[wireHeader.confidence]);
		return {
			status,
			requestId: text(headers[wireHeader.requestId]),
			isNotRun: headers[wireHeader.notRun] !== undefined || status === 421,
			isOtherServer: status === 421,
			isSigned: headers[wireHeader.signature] !== undefined,
			isEncoded: headers[wireHeader.encoding] !== undefined,
			confidence: confidence === undefined ? undefined : Number(confidence),
		};
	},
	answerHeaders: message => headersOf(message).filter(([name]) => !connectionHeaders.has(name.toLowerCase())),
	refuse(request, failed) {
		const {title, status} = errorAnswers[failed.kind];
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
	const patience = text(headers[wireHeader.patience]);
	const [input = '0', output = '0'] = (text(headers[wireHeader.tokens]) ?? '').split(',');
	return {
		id: text(headers[wireHeader.requestId]) ?? '',
		method,
		target: url,
		path: url.split('?', 1)[0] ?? url,
		host: (headers.host ?? '').replace(/:\d+$/v, ''),
		headers: headersOf(message).filter(([name]) => isPassedOn(name.toLowerCase(), message)),
		key,
		patience: patience === undefined ? undefined : Number(patience),
		choosesModel: headers[wireHeader.model] === anyModel,
		promptParts: promptParts(text(headers[wireHeader.promptParts])),
		inputTokens: Number(input) || 0,
		outputTokens: Number(output) || 0,
		session: text(headers[wireHeader.session]),
		lastEventId: text(headers[wireHeader.lastEventId]),
	};
}

/** A model that the caller names is the caller's; the mark for any model is replaced. */
function isPassedOn(name: string, {headers}: IncomingMessage): boolean {
	if (name === wireHeader.model) {
		return headers[wireHeader.model] !== anyModel;
	}

	return !reservedHeaders.has(name) && !connectionHeaders.has(name) && !namedByConnection(headers.connection).has(name);
}

/** The connection header can name further headers that concern the connection only. */
function namedByConnection(value = ''): ReadonlySet<string> {
	return new Set(value.toLowerCase().split(',').map(name => name.trim()));
}

function sendHeaders({headers}: GatewayRequest, {server, model, patience, workspace, urgency, lastEventId, keepsConnection}: SendFacts): readonly Header[] {
	const own: Array<readonly [name: string, value: string | undefined]> = [
		['Deadline-Ms', String(patience)],
		['Expect-Instance', server],
		['Tenant', workspace],
		['Model', model],
		['Request-Priority', urgency === undefined ? undefined : String(urgency)],
		['Last-Event-Id', lastEventId],
	];
	const sent: Header[] = [...headers];
	for (const [name, value] of own) {
		if (value !== undefined) {
			sent.push([name, value]);
		}
	}

	return [...sent, ['Connection', keepsConnection ? 'keep-alive' : 'close']];
}

/** The prompt's parts; one without a length counts as empty. */
function promptParts(value: string | undefined): readonly PromptPart[] {
	if (value === undefined) {
		return [];
	}

	return value.split(',').map(part => {
		const [id = '', tokens = '0'] = part.split(':');
		return {id: id.trim(), tokens: Number(tokens) || 0};
	});
}

function headersOf({rawHeaders}: IncomingMessage): readonly Header[] {
	const pairs: Header[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		pairs.push([rawHeaders[index]!, rawHeaders[index + 1]!]);
	}

	return pairs;
}

function text(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}
