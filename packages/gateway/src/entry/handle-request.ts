import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {readBody} from '@valehitch/transport';
import {type Route} from '../configuration/routing-configuration.js';
import {authorizeAtStart} from './authorize-at-start.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {RequestRun} from './request-run.js';

/** The longest that all but a few streams last; those that arrive with less time left would be cut off. */
const usualStreamMilliseconds = 4700;
/** Other instances take the request at once. */
const elsewhereMilliseconds = 10;
/** The most bytes of a body before any configuration says otherwise. */
const defaultBodyBytes = 4_194_304;

/**
Handles one request of a caller.

@param context What the handling works with.
@param message The request.
@param response The response.
@example
```ts
createServer((message, response) => void handleRequest(context, message, response));
```
*/
export async function handleRequest(context: EntryContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
	const arrivedAt = context.clock.monotonic();
	const request = context.dialect.readRequest(message);
	const authorized = await authorizeAtStart(request, {context, arrivedAt});
	if (authorized.isLeft()) {
		message.resume();
		refuse(context, {request, response, failed: authorized.extract()});
		return;
	}

	const {route} = authorized.unsafeCoerce();
	if (!mayFinish(route, {endsAt: context.endsAt(), now: arrivedAt})) {
		message.resume();
		const failed = failure('shutting-down', 'Got a request shortly before the end of this instance, wanted it elsewhere', {retryAfterMilliseconds: elsewhereMilliseconds});
		refuse(context, {request, response, failed});
		return;
	}

	const body = await readBody(message, context.table()?.limits.bodyBytes ?? defaultBodyBytes);
	if (response.destroyed) {
		return;
	}

	if (body.isLeft()) {
		refuse(context, {request, response, failed: body.extract()});
		return;
	}

	await new RequestRun(context, {
		request, body: body.unsafeCoerce(), response, authorized: authorized.unsafeCoerce(), arrivedAt,
	}).run();
}

/** Whether a request that arrives now can be expected to end before the instance does. */
function mayFinish({kind, timeout}: Route, {endsAt, now}: {readonly endsAt: number | undefined; readonly now: number}): boolean {
	if (endsAt === undefined) {
		return true;
	}

	const needed = kind === 'streaming' ? Math.min(timeout, usualStreamMilliseconds) : timeout;
	return now + needed < endsAt;
}

type RefusedRequest = {
	readonly request: GatewayRequest;
	readonly response: ServerResponse;
	readonly failed: Failure;
};

function refuse({dialect, log, metrics, table, lease, clock, endsAt}: EntryContext, {request, response, failed}: RefusedRequest): void {
	const {status, headers, body} = dialect.refuse(request, failed);
	metrics.refusals.inc({kind: failed.kind});
	log('request-refused', {
		request: request.id, error: failed.kind, reason: failed.message, configuration: table()?.version, confirmedAgo: Math.round(lease.age(clock.monotonic())),
	}, 'warn');
	if (endsAt() !== undefined) {
		response.shouldKeepAlive = false;
	}

	response.writeHead(status, headers.flat());
	response.end(body);
}
