import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	errorResponses, failure, outcomeOf, type Configuration, type ErrorKind, type Failure,
} from '@valehitch/core';
import {
	Either, EitherAsync, Left, Right,
} from 'purify-ts';
import {isMatching, P} from 'ts-pattern';

const responseTimeoutMilliseconds = 15_000;
const maximumResponseBytes = 33_554_432;
const maximumSends = 3;
const resendDelayMilliseconds = 300;
const connectFailureCodes: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH']);

/** The operator API of an instance, and the key for it. */
export type Target = {
	/** The base URL, such as `http://127.0.0.1:8082`. */
	readonly server: string;
	readonly key: string;
};

/** A replacement of the configuration, conditional on a revision. */
export type ConfigurationChange = {
	readonly id: string;
	/** The revision that the change is based on. */
	readonly revision: number;
	readonly document: Configuration;
};

/** The response of an instance to a committed change. */
export type CommittedChange = {
	readonly revision: number;
	readonly inForce: {readonly complete: boolean; readonly waitingFor: readonly string[]};
};

/** The configuration in force, with its revision and rollouts. */
export type CurrentConfiguration = {
	readonly revision: number;
	readonly document: unknown;
	readonly rollouts: unknown;
};

/** The timeline events that an instance still keeps in memory. */
export type RetainedEvents = {
	readonly events: readonly unknown[];
	readonly next: number;
	readonly dropped: number;
};

/** Selects bills of the ledger. */
export type LedgerQuery = {
	/** Only bills of this workspace. */
	readonly workspace?: string | undefined;
	/** The number of bills to skip. */
	readonly after: number;
	/** Whether to list the bills that the ledger refused instead of those it accepted. */
	readonly refused: boolean;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** The value of `after` for the next page; absent on the last page. */
	readonly next?: number;
};

type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** The time within which the response must arrive; 15 s by default. */
	readonly timeoutMilliseconds?: number;
};

/** A question to the metrics port of an instance. */
export type InspectionQuery = {
	/** The host and port, such as `10.1.0.40:9464`. */
	readonly instance: string;
	readonly path: string;
	/** The time that the instance takes for the answer, in milliseconds; 0 by default. */
	readonly durationMilliseconds?: number;
};

type ApiResponse = {readonly status: number; readonly text: string};

const isCommitted = isMatching({revision: P.number, committed: true, inForce: {complete: P.boolean, waitingFor: P.array(P.string)}});
const isCurrentConfiguration = isMatching({revision: P.number, document: P.nonNullable, rollouts: P.any});
const isStatus = isMatching({instance: P.string, servers: P.array(P.any)});
const isLedgerPage = isMatching({bills: P.array(P.any)});
const isLiveEvents = isMatching({events: P.array(P.any), next: P.number, dropped: P.number});
const isRecord = isMatching({});
const isProblem = isMatching({kind: P.string, detail: P.string});
const hasDetails = isMatching({details: P.nonNullable});
const hasOutcome = isMatching({outcome: P.union('notRun', 'ran', 'unknown')});

/** Fetches the configuration in force. */
export async function getConfiguration(target: Target): Promise<Either<Failure, CurrentConfiguration>> {
	const response = await call(target, {method: 'GET', path: '/v1/configuration'});
	return response.chain(value => isCurrentConfiguration(value) ? Right(value) : Left(unexpectedResponse('a configuration with its revision')));
}

/** Fetches the status of the instance. */
export async function getStatus(target: Target): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const response = await call(target, {method: 'GET', path: '/v1/status'});
	return response.chain(value => isStatus(value) ? Right(value) : Left(unexpectedResponse('a status with instance and servers')));
}

/** Fetches a page of the ledger. */
export async function getLedger(target: Target, {workspace, after, refused}: LedgerQuery): Promise<Either<Failure, LedgerPage>> {
	const query = new URLSearchParams({...(workspace !== undefined && {workspace}), after: String(after), ...(refused && {refused: 'true'})});
	const response = await call(target, {method: 'GET', path: `/v1/ledger?${query.toString()}`});
	return response.chain(value => isLedgerPage(value) ? Right(value as LedgerPage) : Left(unexpectedResponse('a page of the ledger')));
}

/** Fetches the timeline events that an instance still keeps. */
export async function getEvents(target: Target, after: number): Promise<Either<Failure, RetainedEvents>> {
	const response = await call(target, {method: 'GET', path: `/v1/timeline?after=${after}`});
	return response.chain(value => isLiveEvents(value) ? Right(value) : Left(unexpectedResponse('a page of events')));
}

/** Fetches the routing decisions for a request. */
export async function getExplanation(target: Target, requestId: string): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const response = await call(target, {method: 'GET', path: `/v1/explain/${encodeURIComponent(requestId)}`});
	return response.chain(value => isRecord(value) ? Right({...value}) : Left(unexpectedResponse('the decisions of a request')));
}

/** Posts a command to a path of the operator API. */
export async function postCommand(target: Target, {path, body}: {readonly path: string; readonly body: unknown}): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const response = await call(target, {
		method: 'POST', path, headers: {'Content-Type': 'application/json'}, body: JSON.stringify(body),
	});
	return response.chain(value => isRecord(value) ? Right({...value}) : Left(unexpectedResponse('a JSON object')));
}

/** Submits a change. Resends it under the same id while it is unknown whether it was committed; the id makes this idempotent. */
export async function putConfiguration(target: Target, change: ConfigurationChange): Promise<Either<Failure, CommittedChange>> {
	return putWithResends(maximumSends, {target, change});
}

async function putWithResends(remainingSends: number, options: {target: Target; change: ConfigurationChange}): Promise<Either<Failure, CommittedChange>> {
	const result = await putOnce(options.target, options.change);
	if (remainingSends <= 1 || !isOutcomeUnknown(result)) {
		return result;
	}

	await sleep(resendDelayMilliseconds);
	return putWithResends(remainingSends - 1, options);
}

function isOutcomeUnknown(result: Either<Failure, unknown>): boolean {
	return result.swap().map(failed => outcomeOf(failed) === 'unknown').orDefault(false);
}

async function putOnce(target: Target, {id, revision, document}: ConfigurationChange): Promise<Either<Failure, CommittedChange>> {
	const response = await call(target, {
		method: 'PUT',
		path: '/v1/configuration',
		headers: {'If-Match': `"${revision}"`, 'Valehitch-Change-Id': id, 'Content-Type': 'application/json'},
		body: JSON.stringify(document),
	});
	return response.chain(value => isCommitted(value) ? Right(value) : Left(unexpectedResponse('a committed revision')));
}

/** Fetches what an instance tells of itself at its metrics port. */
export async function inspect({instance, path, durationMilliseconds = 0}: InspectionQuery): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const url = parseUrl(`http://${instance}`, path);
	if (url.isLeft()) {
		return url;
	}

	const response = await send(url.unsafeCoerce(), {method: 'GET', path, timeoutMilliseconds: durationMilliseconds + responseTimeoutMilliseconds});
	return response
		.chain(({status, text}) => parseResponse(status, text))
		.chain(value => isRecord(value) ? Right({...value}) : Left(unexpectedResponse('a JSON object')));
}

async function call(target: Target, apiRequest: ApiRequest): Promise<Either<Failure, unknown>> {
	const url = parseUrl(target.server, apiRequest.path);
	if (url.isLeft()) {
		return url;
	}

	const response = await send(url.unsafeCoerce(), {...apiRequest, headers: {...apiRequest.headers, authorization: `Bearer ${target.key}`}});
	return response.chain(({status, text}) => parseResponse(status, text));
}

function parseUrl(server: string, path: string): Either<Failure, URL> {
	return Either.encase(() => new URL(path, server))
		.mapLeft(() => server)
		.chain(url => url.protocol === 'http:' ? Right(url) : Left(server))
		.mapLeft(got => failure('malformed-request', `Got the server ${JSON.stringify(got)}, wanted a URL such as http://127.0.0.1:8082`));
}

function parseResponse(status: number, text: string): Either<Failure, unknown> {
	const body = Either.encase((): unknown => JSON.parse(text));
	if (status >= 200 && status < 300) {
		return body.mapLeft(() => unexpectedResponse('a JSON body'));
	}

	return Left(body.map(value => parseProblem(value, status)).orDefault(statusFailure(status)));
}

function parseProblem(value: unknown, status: number): Failure {
	if (!isProblem(value) || !isErrorKind(value.kind)) {
		return statusFailure(status);
	}

	return failure(value.kind, value.detail, {
		...(hasOutcome(value) && {outcome: value.outcome}),
		...(hasDetails(value) && {details: {...value.details}}),
	});
}

function isErrorKind(kind: string): kind is ErrorKind {
	return Object.hasOwn(errorResponses, kind);
}

function statusFailure(status: number): Failure {
	return failure('internal', `Got HTTP status ${status} without problem details, wanted 200 or problem details`);
}

function unexpectedResponse(expected: string): Failure {
	return failure('internal', `Got a response of an unexpected shape, wanted ${expected}`);
}

async function send(url: URL, apiRequest: ApiRequest): Promise<Either<Failure, ApiResponse>> {
	return EitherAsync<Error, ApiResponse>(async () => sendRequest(url, apiRequest))
		.mapLeft(error => toFailure(error, url))
		.run();
}

async function sendRequest(url: URL, {method, headers = {}, body, timeoutMilliseconds = responseTimeoutMilliseconds}: ApiRequest): Promise<ApiResponse> {
	const outgoing = request(url, {method, headers, signal: AbortSignal.timeout(timeoutMilliseconds)});
	const response = once(outgoing, 'response') as Promise<[IncomingMessage]>;
	outgoing.end(body);
	const [incoming] = await response;
	return {status: incoming.statusCode ?? 0, text: await readBody(incoming)};
}

async function readBody(incoming: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of incoming as AsyncIterable<Uint8Array>) {
		bytes += chunk.length;
		if (bytes > maximumResponseBytes) {
			throw new RangeError(`Got more than ${maximumResponseBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function toFailure(error: Error & {code?: unknown}, url: URL): Failure {
	if (error.code === 'ERR_INVALID_CHAR') {
		return failure('malformed-request', 'Got a key or change id with characters that are not allowed in a header, wanted printable ASCII');
	}

	const reason = error.message === '' ? String(error.code) : error.message;
	return connectFailureCodes.has(error.code)
		? failure('no-server', `Got no connection to ${url.origin} (${reason}), wanted the operator address of a running instance`)
		: failure('outcome-unknown', `Got no response from ${url.origin} (${reason}), wanted one within ${responseTimeoutMilliseconds} ms`);
}
