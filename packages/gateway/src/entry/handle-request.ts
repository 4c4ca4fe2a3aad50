import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {abortResponse} from '@valehitch/transport';
import {type Route} from '../configuration/routing-configuration.js';
import {authorizeAtStartup} from './authorize-at-startup.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {readCallerBody} from './read-caller-body.js';
import {RequestRun} from './request-run.js';

/** The duration that nearly all streams stay below. During a shutdown, streams that arrive with less time left would be cut off, so they are refused. */
const typicalStreamMilliseconds = 4700;
/** The retry delay during a shutdown, in milliseconds: other instances can accept the request immediately. */
const shutdownRetryMilliseconds = 10;
/** The maximum size of a body until the first configuration arrives, in bytes. */
const defaultBodyBytes = 4_194_304;

/** A request of a caller. */
export type ArrivedRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	/** When its head was read, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/**
Handles a request of a caller.

@param context The context of the instance.
@param arrived The request, its response and when it arrived.
@example
```ts
createServer((message, response) => void handleRequest(context, {message, response, arrivedAt: clock.monotonic()}));
```
*/
export async function handleRequest(context: EntryContext, arrived: ArrivedRequest): Promise<void> {
	const request = context.dialect.readRequest(arrived.message);
	try {
		await runRequest(context, request, arrived);
	} catch (error) {
		const reason = error instanceof Error ? error.stack ?? error.message : String(error);
		context.log('request-ended', {request: request.id, outcome: 'internal', reason}, 'error');
		endFailed(context, {request, ...arrived});
	}
}

async function runRequest(context: EntryContext, request: GatewayRequest, {message, response, arrivedAt}: ArrivedRequest): Promise<void> {
	const authorized = await authorizeAtStartup(request, {context, arrivedAt});
	if (authorized.isLeft()) {
		message.resume();
		refuse(context, {request, response, failed: authorized.extract()});
		return;
	}

	const {route} = authorized.unsafeCoerce();
	if (!canFinish(route, {endsAt: context.endsAt(), now: context.clock.monotonic()})) {
		message.resume();
		const failed = failure('shutting-down', 'This instance is shutting down; send the request to another instance', {retryAfterMilliseconds: shutdownRetryMilliseconds});
		refuse(context, {request, response, failed});
		return;
	}

	const held = context.memory.open();
	try {
		const body = await readCallerBody(message, {memory: context.memory, held, maximumBytes: context.table()?.limits.bodyBytes ?? defaultBodyBytes});
		if (response.destroyed) {
			return;
		}

		if (body.isLeft()) {
			refuse(context, {request, response, failed: body.extract()});
			return;
		}

		await new RequestRun(context, {
			request, body: body.unsafeCoerce(), held, response, authorized: authorized.unsafeCoerce(), arrivedAt,
		}).run();
	} finally {
		held.set(0);
	}
}

/** Checks whether a request that arrives now is expected to finish before the instance stops. */
function canFinish({kind, timeout}: Route, {endsAt, now}: {readonly endsAt: number | undefined; readonly now: number}): boolean {
	if (endsAt === undefined) {
		return true;
	}

	const needed = kind === 'streaming' ? Math.min(timeout, typicalStreamMilliseconds) : timeout;
	return now + needed < endsAt;
}

/** Answers a request that could not be handled, or breaks off the answer if it has begun; one that is complete is left as it is. */
function endFailed(context: EntryContext, {request, message, response}: ArrivedRequest & {readonly request: GatewayRequest}): void {
	if (response.writableEnded) {
		return;
	}

	if (response.headersSent || response.destroyed) {
		abortResponse(response);
		return;
	}

	message.resume();
	writeRefusal(context, {request, response, failed: failure('internal', 'Unexpected error in the request handler')});
}

type RefusedRequest = {
	readonly request: GatewayRequest;
	readonly response: ServerResponse;
	readonly failed: Failure;
};

function refuse(context: EntryContext, {request, response, failed}: RefusedRequest): void {
	const {log, table, lease, clock, endsAt, notes} = context;
	log('request-refused', {
		request: request.id, error: failed.kind, reason: failed.message, configuration: table()?.version, confirmedAgo: Math.round(lease.age(clock.monotonic())),
	}, 'warn');
	notes.record(request.id, {at: clock.monotonic(), kind: 'refused', facts: {error: failed.kind, reason: failed.message}});
	if (endsAt() !== undefined) {
		response.shouldKeepAlive = false;
	}

	writeRefusal(context, {request, response, failed});
}

function writeRefusal({dialect, metrics}: EntryContext, {request, response, failed}: RefusedRequest): void {
	const {status, headers, body} = dialect.refuse(request, failed);
	metrics.refusals.inc({kind: failed.kind});
	response.writeHead(status, headers.flat());
	response.end(body);
}
