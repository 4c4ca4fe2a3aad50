import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure} from '@valehitch/core';
import {readBody} from '@valehitch/transport';
import {authorizeRequest} from './authorize-request.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {RequestRun} from './request-run.js';

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
	const table = context.table();
	const authorized = authorizeRequest(request, {...context, table, now: arrivedAt});
	if (authorized.isLeft()) {
		message.resume();
		refuse(context, {request, response, failed: authorized.extract() as Failure});
		return;
	}

	const body = await readBody(message, table?.limits.bodyBytes ?? defaultBodyBytes);
	if (response.destroyed) {
		return;
	}

	if (body.isLeft()) {
		refuse(context, {request, response, failed: body.extract() as Failure});
		return;
	}

	await new RequestRun(context, {
		request, body: body.unsafeCoerce(), response, authorized: authorized.unsafeCoerce(), arrivedAt,
	}).run();
}

type RefusedRequest = {
	readonly request: GatewayRequest;
	readonly response: ServerResponse;
	readonly failed: Failure;
};

function refuse({dialect, log, metrics, table, lease, clock, isStopping}: EntryContext, {request, response, failed}: RefusedRequest): void {
	const {status, headers, body} = dialect.refuse(request, failed);
	metrics.refusals.inc({kind: failed.kind});
	log('request-refused', {
		request: request.id, kind: failed.kind, reason: failed.message, configuration: table()?.version, confirmedAgo: Math.round(lease.age(clock.monotonic())),
	}, 'warn');
	if (isStopping()) {
		response.shouldKeepAlive = false;
	}

	response.writeHead(status, headers.flat());
	response.end(body);
}
