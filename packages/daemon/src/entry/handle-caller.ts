import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Failure, failure,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {readCallerHeaders} from './caller-headers.js';
import {type EntryContext} from './entry-context.js';
import {type AuthenticatedCall, handleChat} from './handle-chat.js';
import {handleService} from './handle-service.js';
import {refusalByConfiguration} from './refusal-by-configuration.js';
import {refuse} from './refuse.js';
import {createRequestId} from './request-id.js';

const serviceUnavailableStatus = 503;
const retryAfterStopMilliseconds = 1000;

/**
Handles a request on the listener for callers.

@param request The request.
@param response The response.
@param context The shared state of the entry component.
@example
```ts
await handleCaller(request, response, context);
```
*/
export async function handleCaller(request: IncomingMessage, response: ServerResponse, context: EntryContext): Promise<void> {
	if (request.url === '/healthz') {
		answerHealth(response, context);
		return;
	}

	const requestId = createRequestId(context.settings.instance, context.newId());
	const started = context.clock.monotonic();
	context.requests.begin();
	response.on('close', () => {
		context.requests.end();
		context.metrics.timing('request.duration', context.clock.monotonic() - started);
	});
	context.timeline.record('request-received', {requestId, details: {method: request.method, path: request.url}});
	const call = authenticate({
		request, response, requestId, arrivedAt: started,
	}, context);
	if (call.isLeft()) {
		request.resume();
		refuse({response, requestId}, call.extract(), context);
		return;
	}

	await route(call.unsafeCoerce(), context);
}

async function route(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const {request, response, requestId} = call;

	if (request.url === '/v1/chat/completions') {
		await handleChatPath(call, context);
	} else if (request.url?.startsWith('/services/') === true) {
		await handleService(call, context);
	} else {
		refuse(call, failure('not-found', `Unknown path ${request.url ?? ''}; expected /v1/chat/completions or /services/NAME/...`), context);
	}

	context.timeline.record('request-answered', {requestId, workspace: call.workspace, details: {status: response.statusCode}});
}

async function handleChatPath(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const {method} = call.request;
	if (method !== 'POST') {
		refuse(call, failure('method-not-allowed', `Method ${method ?? ''} is not allowed; expected POST`), context);
		return;
	}

	await handleChat(call, context);
}

type IncomingCall = Pick<AuthenticatedCall, 'request' | 'response' | 'requestId' | 'arrivedAt'>;

function authenticate(incoming: IncomingCall, context: EntryContext): Either<Failure, AuthenticatedCall> {
	if (context.requests.stopping) {
		return Left(failure('shutting-down', 'The instance is shutting down', {retryAfterMilliseconds: retryAfterStopMilliseconds}));
	}

	const active = context.active();
	if (active === undefined) {
		return Left(failure('no-configuration', 'The instance has not received a configuration yet', {retryAfterMilliseconds: retryAfterStopMilliseconds}));
	}

	return readCallerHeaders(incoming.request).chain(headers => {
		const workspace = active.workspaces.get(bearerDigest(incoming.request) ?? '');
		return workspace === undefined
			? Left(refusalByConfiguration(failure('unauthenticated', 'Missing or unknown API key; expected Authorization: Bearer KEY'), active))
			: Right({
				...incoming, workspace, headers, active,
			});
	});
}

function answerHealth(response: ServerResponse, context: EntryContext): void {
	answerJson(response, {stopping: context.requests.stopping, inProgress: context.requests.inProgress}, {
		status: context.requests.stopping ? serviceUnavailableStatus : 200,
	});
}
