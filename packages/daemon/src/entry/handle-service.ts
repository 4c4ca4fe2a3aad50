import {
	type Failure, failure, type ServiceId, toId,
} from '@valehitch/core';
import {mayServe} from '@valehitch/membership';
import {type RequestPlan} from '@valehitch/routing';
import {type Either, Left, Right} from 'purify-ts';
import {type EntryContext} from './entry-context.js';
import {type AuthenticatedCall, requestKey} from './handle-chat.js';
import {RequestExecution} from './lifecycle/request-execution.js';
import {readCallerBody} from './read-caller-body.js';
import {refusalByConfiguration} from './refusal-by-configuration.js';
import {refuse} from './refuse.js';
import {serviceAdapter, type ServicePlan} from './service-adapter.js';
import {type AdmissionDemand} from './traffic/admission-pools.js';

const servicePathPattern = /^\/services\/(?<service>[a-z\d][a-z\d._\-]{0,63})(?<path>\/.*)$/v;
const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const defaultDeadlineMilliseconds = 30_000;
const servicePriority = 5;

/**
Handles a call to a plain service.

@param call The request.
@param context The shared state of the entry component.
@example
```ts
await handleService(call, context);
```
*/
export async function handleService(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const body = await readCallerBody(call.request, context.settings.limits.bodyBytes);
	const planned = body.chain(bytes => planService({call, body: bytes}, context));
	if (planned.isLeft()) {
		refuse(call, refusalByConfiguration(planned.extract(), call.active), context);
		return;
	}

	const service = planned.unsafeCoerce();
	const key = requestKey(call, service.body);
	const plan = requestPlan(service, key !== undefined);
	const adapter = serviceAdapter(service, {context, deadline: plan.deadline});
	const {requestId, workspace} = call;
	context.decisions.add({
		request: requestId, workspace, at: context.clock.now().getTime(), versions: [], attempts: [],
	});
	const demand: AdmissionDemand = {
		id: requestId,
		workspace,
		target: plan.target,
		weight: call.active.effective.document.workspaces[workspace]?.weight ?? 1,
		priority: servicePriority,
		cost: 1,
		deadline: plan.deadline,
	};
	await new RequestExecution({
		...call, plan, adapter, key, demand, context,
	}).run();
}

function planService({call, body}: Pick<ServicePlan, 'call' | 'body'>, {settings}: EntryContext): Either<Failure, ServicePlan> {
	const {request, active: {effective: {document}, isolated}, workspace} = call;
	const groups = servicePathPattern.exec(request.url ?? '')?.groups;
	const service = toId<ServiceId>(groups?.service ?? '');
	const path = groups?.path ?? '/';
	if (!Object.hasOwn(document.services, service)) {
		return Left(failure('not-found', `Unknown path ${request.url ?? ''}; expected /services/NAME/... of a configured service`));
	}

	if (document.workspaces[workspace]?.services.includes(service) !== true) {
		return Left(failure('forbidden', `Workspace ${workspace} is not allowed to use service ${service}`));
	}

	if (!mayServe({leaseValid: !isolated, serve: settings.isolation.serve, versionState: 'plain-service'})) {
		return Left(failure('no-configuration', 'The instance has no valid configuration lease and serves no calls without one', {retryAfterMilliseconds: 1000}));
	}

	const method = request.method ?? 'GET';
	const repeatable = repeatableMethods.has(method)
		|| document.services[service]?.repeatable.some(known => known.method === method && path.startsWith(known.path)) === true;
	return Right({
		call, service, path, body, repeatable,
	});
}

/** A repeatable call needs no claim. */
function requestPlan({call: {headers, arrivedAt}, service, repeatable}: ServicePlan, hasKey: boolean): RequestPlan {
	const claimed = hasKey && !repeatable;
	return {
		target: {type: 'service', service},
		session: 'none',
		repeatable,
		requiresClaim: claimed,
		finishAfterCallerLeaves: claimed,
		streamed: false,
		judged: false,
		deadline: arrivedAt + (headers.deadlineMilliseconds ?? defaultDeadlineMilliseconds),
		promptTokens: 0,
	};
}
