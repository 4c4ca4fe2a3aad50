import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {type HeldBytes, mayStartWhileStopping} from '@valehitch/routing';
import {abortResponse, nextPoll} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {authorizeAtStartup} from './authorize-at-startup.js';
import {deadlineOf} from './deadline-of.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {type StopMoment} from './instance-stop.js';
import {readCallerBody} from './read-caller-body.js';
import {recordCallerLeft} from './record-caller-left.js';
import {RequestRun} from './request-run.js';
import {shuttingDownFailure} from './shutting-down-failure.js';

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
	if (context.stop.endsAt !== undefined) {
		// A body that came with its head is complete then, so that a refusal can close the connection.
		await nextPoll();
	}

	await context.freshness.refresh(request.timeout ?? 0);
	const authorized = await authorizeAtStartup(request, {context, arrivedAt});
	if (authorized.isLeft()) {
		message.resume();
		refuse(context, {request, response, failed: authorized.extract()});
		return;
	}

	const admitted = authorized.unsafeCoerce();
	const held = context.memory.open();
	try {
		const body = await readUnlessStopping(context, {
			request, message, response, held, deadlineAt: deadlineOf(request, {route: admitted.route, arrivedAt}),
		});
		if (body === undefined) {
			return;
		}

		if (response.destroyed) {
			recordCallerLeft(context, {request: request.id, route: admitted.route, arrivedAt});
			return;
		}

		if (body.isLeft()) {
			refuse(context, {request, response, failed: body.extract()});
			return;
		}

		await new RequestRun(context, {
			request, body: body.unsafeCoerce(), held, response, authorized: admitted, arrivedAt,
		}).run();
	} finally {
		held.set(0);
	}
}

type ArrivingBody = {
	readonly request: GatewayRequest;
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly held: HeldBytes;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/** Reads the body of a request. If the instance stops too early for the request, refuses it without waiting for the rest of the body; returns undefined then. */
async function readUnlessStopping(context: EntryContext, {request, message, response, held, deadlineAt}: ArrivingBody): Promise<Either<Failure, Uint8Array> | undefined> {
	const {stop, clock, memory, table} = context;
	let isRefused = false;
	const refuseIfLate = (moment: StopMoment): void => {
		if (!isRefused && (moment === 'answers-due' || !mayStartWhileStopping({
			deadlineAt, answersDueAt: stop.answersDueAt, isNotRun: true, now: clock.monotonic(),
		}))) {
			isRefused = true;
			message.resume();
			refuse(context, {request, response, failed: shuttingDownFailure('the time limit of the request ends too late')});
		}
	};

	refuseIfLate('begun');
	if (isRefused) {
		return undefined;
	}

	const unwatch = stop.watch(refuseIfLate);
	const body = await readCallerBody(message, {memory, held, maximumBytes: table()?.limits.bodyBytes ?? defaultBodyBytes});
	unwatch();
	return isRefused ? undefined : body;
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
	const {log, table, lease, clock, stop, notes} = context;
	log('request-refused', {
		request: request.id, error: failed.kind, reason: failed.message, configuration: table()?.version, confirmedAgo: Math.round(lease.age(clock.monotonic())),
	}, 'warn');
	notes.record(request.id, {at: clock.monotonic(), kind: 'refused', facts: {error: failed.kind, reason: failed.message}});
	// A connection that is closed while the body still comes is reset, and the caller loses the refusal.
	if (response.req.complete && stop.closesConnection(response)) {
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
