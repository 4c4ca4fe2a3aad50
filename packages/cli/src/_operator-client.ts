import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	errorAnswers, failure, outcomeOf, type Configuration, type ErrorKind, type Failure,
} from '@valehitch/core';
import {
	Either, EitherAsync, Left, Right,
} from 'purify-ts';
import {isMatching, P} from 'ts-pattern';

const answerTimeoutMilliseconds = 15_000;
const largestAnswerBytes = 33_554_432;
const sendsAtMost = 3;
const pauseBetweenSendsMilliseconds = 300;
const neverConnectedCodes: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH']);

/** The operators' interface of an instance, and the key for it. */
export type Target = {
	/** The base address, such as `http://127.0.0.1:8082`. */
	readonly server: string;
	readonly key: string;
};

/** One change of the configuration. */
export type Change = {
	readonly id: string;
	/** The revision that the change was made against. */
	readonly revision: number;
	readonly document: Configuration;
};

/** What the instance says of a committed change. */
export type Committed = {
	readonly revision: number;
	readonly inForce: {readonly complete: boolean; readonly waitingFor: readonly string[]};
};

/** The configuration in force. */
export type CurrentConfiguration = {
	readonly revision: number;
	readonly document: unknown;
	readonly rollouts: unknown;
};

/** The part of the events that an instance still keeps. */
export type LiveEvents = {
	readonly events: readonly unknown[];
	readonly next: number;
	readonly dropped: number;
};

/** Which bills are asked for. */
export type LedgerQuery = {
	/** Bills of this workspace only. */
	readonly workspace?: string | undefined;
	/** How many bills to pass over. */
	readonly after: number;
	/** Whether the bills are wanted that the ledger refused. */
	readonly refused: boolean;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** What comes after this page; absent on the last. */
	readonly next?: number;
};

type Call = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

type Answer = {readonly status: number; readonly text: string};

const isCommitted = isMatching({revision: P.number, committed: true, inForce: {complete: P.boolean, waitingFor: P.array(P.string)}});
const isCurrentConfiguration = isMatching({revision: P.number, document: P.nonNullable, rollouts: P.any});
const isStatus = isMatching({instance: P.string, servers: P.array(P.any)});
const isLedgerPage = isMatching({bills: P.array(P.any)});
const isLiveEvents = isMatching({events: P.array(P.any), next: P.number, dropped: P.number});
const isRecord = isMatching({});
const isProblem = isMatching({kind: P.string, detail: P.string});
const hasDetails = isMatching({details: P.nonNullable});
const hasOutcome = isMatching({outcome: P.union('notRun', 'ran', 'unknown')});

/** Reads the configuration in force. */
export async function getConfiguration(target: Target): Promise<Either<Failure, CurrentConfiguration>> {
	const answer = await call(target, {method: 'GET', path: '/v1/configuration'});
	return answer.chain(value => isCurrentConfiguration(value) ? Right(value) : Left(oddAnswer('a configuration with its revision')));
}

/** Reads the status of the instance. */
export async function getStatus(target: Target): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const answer = await call(target, {method: 'GET', path: '/v1/status'});
	return answer.chain(value => isStatus(value) ? Right(value) : Left(oddAnswer('a status with instance and servers')));
}

/** Reads a page of the ledger. */
export async function getLedger(target: Target, {workspace, after, refused}: LedgerQuery): Promise<Either<Failure, LedgerPage>> {
	const query = new URLSearchParams({...(workspace !== undefined && {workspace}), after: String(after), ...(refused && {refused: 'true'})});
	const answer = await call(target, {method: 'GET', path: `/v1/ledger?${query.toString()}`});
	return answer.chain(value => isLedgerPage(value) ? Right(value as LedgerPage) : Left(oddAnswer('a page of the ledger')));
}

/** Reads the events that an instance keeps. */
export async function getEvents(target: Target, after: number): Promise<Either<Failure, LiveEvents>> {
	const answer = await call(target, {method: 'GET', path: `/v1/timeline?after=${after}`});
	return answer.chain(value => isLiveEvents(value) ? Right(value) : Left(oddAnswer('a page of events')));
}

/** Reads the decisions of a request. */
export async function getExplanation(target: Target, requestId: string): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const answer = await call(target, {method: 'GET', path: `/v1/explain/${encodeURIComponent(requestId)}`});
	return answer.chain(value => isRecord(value) ? Right({...value}) : Left(oddAnswer('the decisions of a request')));
}

/** Sends a command to a path of the operators' interface. */
export async function postCommand(target: Target, {path, body}: {readonly path: string; readonly body: unknown}): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const answer = await call(target, {
		method: 'POST', path, headers: {'Content-Type': 'application/json'}, body: JSON.stringify(body),
	});
	return answer.chain(value => isRecord(value) ? Right({...value}) : Left(oddAnswer('a JSON object')));
}

/** Sends a change; sends it again with the same id when it is not known whether it was committed. */
export async function putConfiguration(target: Target, change: Change): Promise<Either<Failure, Committed>> {
	return putAtMost(sendsAtMost, {target, change});
}

async function putAtMost(sends: number, sent: {target: Target; change: Change}): Promise<Either<Failure, Committed>> {
	const result = await putOnce(sent.target, sent.change);
	if (sends <= 1 || !isUnknown(result)) {
		return result;
	}

	await sleep(pauseBetweenSendsMilliseconds);
	return putAtMost(sends - 1, sent);
}

function isUnknown(result: Either<Failure, unknown>): boolean {
	return result.swap().map(failed => outcomeOf(failed) === 'unknown').orDefault(false);
}

async function putOnce(target: Target, {id, revision, document}: Change): Promise<Either<Failure, Committed>> {
	const answer = await call(target, {
		method: 'PUT',
		path: '/v1/configuration',
		headers: {'If-Match': `"${revision}"`, 'Valehitch-Change-Id': id, 'Content-Type': 'application/json'},
		body: JSON.stringify(document),
	});
	return answer.chain(value => isCommitted(value) ? Right(value) : Left(oddAnswer('a committed revision')));
}

async function call(target: Target, sent: Call): Promise<Either<Failure, unknown>> {
	const url = parseAddress(target.server, sent.path);
	if (url.isLeft()) {
		return url;
	}

	const answer = await send(url.unsafeCoerce(), {...sent, headers: {...sent.headers, authorization: `Bearer ${target.key}`}});
	return answer.chain(({status, text}) => readAnswer(status, text));
}

function parseAddress(server: string, path: string): Either<Failure, URL> {
	return Either.encase(() => new URL(path, server))
		.mapLeft(() => server)
		.chain(url => url.protocol === 'http:' ? Right(url) : Left(server))
		.mapLeft(got => failure('malformed-request', `Got the server ${JSON.stringify(got)}, wanted an address such as http://127.0.0.1:8082`));
}

function readAnswer(status: number, text: string): Either<Failure, unknown> {
	const body = Either.encase((): unknown => JSON.parse(text));
	if (status >= 200 && status < 300) {
		return body.mapLeft(() => oddAnswer('a JSON body'));
	}

	return Left(body.map(value => readProblem(value, status)).orDefault(unexplained(status)));
}

function readProblem(value: unknown, status: number): Failure {
	if (!isProblem(value) || !isErrorKind(value.kind)) {
		return unexplained(status);
	}

	return failure(value.kind, value.detail, {
		...(hasOutcome(value) && {outcome: value.outcome}),
		...(hasDetails(value) && {details: {...value.details}}),
	});
}

function isErrorKind(kind: string): kind is ErrorKind {
	return Object.hasOwn(errorAnswers, kind);
}

function unexplained(status: number): Failure {
	return failure('internal', `Got the HTTP status ${status} without an explanation, wanted 200 or problem details`);
}

function oddAnswer(wanted: string): Failure {
	return failure('internal', `Got an answer of another shape, wanted ${wanted}`);
}

async function send(url: URL, sent: Call): Promise<Either<Failure, Answer>> {
	return EitherAsync<Error, Answer>(async () => exchange(url, sent))
		.mapLeft(error => toFailure(error, url))
		.run();
}

async function exchange(url: URL, {method, headers = {}, body}: Call): Promise<Answer> {
	const outgoing = request(url, {method, headers, signal: AbortSignal.timeout(answerTimeoutMilliseconds)});
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
		if (bytes > largestAnswerBytes) {
			throw new RangeError(`Got more than ${largestAnswerBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function toFailure(error: Error & {code?: unknown}, url: URL): Failure {
	if (error.code === 'ERR_INVALID_CHAR') {
		return failure('malformed-request', 'Got a key or change id with characters that a header can\'t carry, wanted printable ASCII');
	}

	const reason = error.message === '' ? String(error.code) : error.message;
	return neverConnectedCodes.has(error.code)
		? failure('no-server', `Got no connection to ${url.origin} (${reason}), wanted the operators' address of a running instance`)
		: failure('outcome-unknown', `Got no answer from ${url.origin} (${reason}), wanted one within ${answerTimeoutMilliseconds} ms`);
}
