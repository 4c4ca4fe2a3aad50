import {
	type Failure, failure, type Micros, type ServerId, type ServiceId, toId,
} from '@valehitch/core';
import {mayServe} from '@valehitch/membership';
import {
	type HttpAnswer, readBody, sendHttp,
} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {type EntryContext} from './entry-context.js';
import {type AuthenticatedCall} from './handle-chat.js';
import {refuse} from './refuse.js';

const servicePathPattern = /^\/services\/(?<service>[a-z\d][a-z\d._\-]{0,63})(?<path>\/.*)$/v;
const maximumAttempts = 3;
const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const serviceUnavailable = 503;
const microsPerUnit = 1_000_000;
const handedOnHeaders = ['content-type', 'accept', 'idempotency-key'] as const;

type ServiceCallPlan = {
	readonly call: AuthenticatedCall;
	readonly service: ServiceId;
	readonly path: string;
	readonly repeatable: boolean;
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
};

/**
Serves one call to a plain service.

@param call The request.
@param context What the entry works with.
@example
```ts
await handleService(call, context);
```
*/
export async function handleService(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const abort = new AbortController();
	call.response.on('close', () => {
		abort.abort();
	});
	const body = await readBody(call.request, context.settings.limits.bodyBytes);
	const plan = body.chain(bytes => planService({call, body: bytes}, context)).map(found => ({...found, signal: abort.signal}));
	const result = plan.isLeft()
		? Left(plan.extract())
		: await dispatch(plan.extract() as ServiceCallPlan, context);
	if (result.isLeft()) {
		refuse(call, result.extract(), context);
	}
}

function planService({call, body}: {readonly call: AuthenticatedCall; readonly body: Uint8Array}, {settings}: EntryContext): Either<Failure, Omit<ServiceCallPlan, 'signal'>> {
	const {request, active: {effective: {document}, isolated}, workspace} = call;
	const groups = servicePathPattern.exec(request.url ?? '')?.groups;
	const service = toId<ServiceId>(groups?.service ?? '');
	const path = groups?.path ?? '/';
	const configured = document.services[service];
	if (configured === undefined) {
		return Left(failure('not-found', `Got path ${request.url ?? ''}, wanted /services/NAME/... of a configured service`));
	}

	if (document.workspaces[workspace]?.services.includes(service) !== true) {
		return Left(failure('forbidden', `Got service ${service}, wanted one that workspace ${workspace} may use`));
	}

	if (!mayServe({leaseValid: !isolated, serve: settings.isolation.serve, versionState: 'plain-service'})) {
		return Left(failure('no-configuration', 'Got a call on an instance without a configuration lease, which serves nothing', {retryAfterMilliseconds: 1000}));
	}

	const method = request.method ?? 'GET';
	const repeatable = repeatableMethods.has(method)
		|| configured.repeatable.some(known => known.method === method && path.startsWith(known.path));
	return Right({
		call, service, path, repeatable, body,
	});
}

async function dispatch(plan: ServiceCallPlan, context: EntryContext): Promise<Either<Failure, void>> {
	const tried = new Set<ServerId>();
	let lastFailure = failure('no-server', `Got no instance of service ${plan.service}`, {retryAfterMilliseconds: 1000});
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const server = context.servers.chooseService(plan.service, tried);
		if (server === undefined) {
			break;
		}

		tried.add(server.announcement.server);
		server.inFlight++;
		const answer = await callService(plan, server.announcement.address);
		server.inFlight--;
		if (answer.isRight()) {
			return relay({plan, server: server.announcement.server, head: answer.extract()}, context);
		}

		lastFailure = answer.extract() as Failure;
		if (lastFailure.kind !== 'no-server') {
			break;
		}
	}

	return Left(lastFailure);
}

async function callService(plan: ServiceCallPlan, address: string): Promise<Either<Failure, HttpAnswer>> {
	const {request} = plan.call;
	const headers: Record<string, string> = {'valehitch-request-id': plan.call.requestId};
	for (const name of handedOnHeaders) {
		const value = request.headers[name];
		if (typeof value === 'string') {
			headers[name] = value;
		}
	}

	const answer = await sendHttp({
		address,
		method: request.method ?? 'GET',
		path: plan.path,
		headers,
		body: plan.body,
		signal: plan.signal,
		reuseConnection: plan.repeatable,
	});
	return answer
		.mapLeft(({neverSent, message}) => neverSent
			? failure('no-server', `Got no connection to the service: ${message}`)
			: failure('outcome-unknown', `Got no answer from the service: ${message}`))
		.chain(head => {
			if (head.status !== serviceUnavailable || head.headers['valehitch-outcome'] !== 'notRun') {
				return Right(head);
			}

			head.message.resume();
			return Left(failure('no-server', 'Got a refusal from the service, which did not run the call', {retryAfterMilliseconds: 1000}));
		});
}

type Relay = {
	readonly plan: ServiceCallPlan;
	readonly server: ServerId;
	readonly head: HttpAnswer;
};

async function relay({plan, server, head}: Relay, context: EntryContext): Promise<Either<Failure, void>> {
	const {call: {response, requestId, workspace, active}, service} = plan;
	const body = await readBody(head.message, context.settings.limits.bodyBytes);
	if (body.isLeft()) {
		return Left(failure('outcome-unknown', `Got no whole answer from service ${service}`));
	}

	const cost = Math.ceil((active.effective.document.services[service]?.pricePerCall ?? 0) * microsPerUnit) as Micros;
	await context.bills.settle({
		workspace,
		request: requestId,
		instance: context.settings.instance,
		lines: [{
			server, service, usage: {input: 0, output: 0}, cost, purpose: 'first',
		}],
		total: cost,
		outcome: 'answered',
		settledAt: context.clock.now().getTime(),
	});
	response.writeHead(head.status, {
		'Valehitch-Request-Id': requestId,
		...(head.headers['content-type'] !== undefined && {'Content-Type': head.headers['content-type']}),
	});
	response.end(body.extract() as Uint8Array);
	return Right(undefined);
}
