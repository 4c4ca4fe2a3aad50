import {
	failure, type Micros, type RequestId, type ServerId, type ServiceId, toId,
} from '@valehitch/core';
import {type DispatchDenialReason, type RequestTarget} from '@valehitch/routing';
import {Left} from 'purify-ts';
import {attemptEnd} from './attempt-end.js';
import {type AttemptOutput} from './attempt-output.js';
import {type EntryContext} from './entry-context.js';
import {type AuthenticatedCall} from './handle-chat.js';
import {
	type ChooseServerAction, type DispatchAction, type RequestAdapter, type SendOptions, type ServerChoice,
} from './lifecycle/request-adapter.js';
import {RequestSender} from './request-sender.js';
import {callService} from './service-call.js';
import {saysOfServer} from './says-of-server.js';
import {reportOverdue} from './report-overdue.js';
import {observeAttempt} from './traffic/observe-attempt.js';
import {type WatchedAttempt} from './traffic/overdue-attempts.js';

/** A validated call to a plain service. */
export type ServicePlan = {
	readonly call: AuthenticatedCall;
	readonly service: ServiceId;
	/** The path with its query, without the prefix of the service. */
	readonly path: string;
	readonly body: Uint8Array;
	readonly repeatable: boolean;
};

/** Options of {@linkcode serviceAdapter}. */
export type ServiceAdapterOptions = {
	readonly context: EntryContext;
	/** When the answer is due, in milliseconds of the monotonic clock. */
	readonly deadline: number;
};

const microsPerUnit = 1_000_000;

/**
Creates the request adapter for a call to a plain service.

@param plan The call.
@param options The shared state of the entry component, and the deadline.
@returns The adapter.
@example
```ts
const adapter = serviceAdapter(plan, {context, deadline});
```
*/
export function serviceAdapter(plan: ServicePlan, {context, deadline}: ServiceAdapterOptions): RequestAdapter {
	const {links, relays} = context.connections;
	const sender = new RequestSender({links: links.of(plan.service), relays});
	const watch = context.overdue.begin({
		workspace: plan.call.workspace,
		target: plan.service,
		timesKey: plan.service,
		isRepeatable: plan.repeatable,
		deadline,
		stallMilliseconds: context.settings.timing.stallMilliseconds,
	});
	return {
		chooseServer: action => chooseInstance(action, {plan, context}),
		checkDispatch: () => denialOf(plan, context),
		send: options => send(options, {
			plan, context, sender, watch,
		}),
		chooseVersion: lost => Left(failure('forbidden', `The workspace is no longer allowed to use service ${serviceOf(lost)}`)),
		judge: () => ({verdict: 'accepted'}),
		costOf: () => priceOf(plan.service, context),
		headersOf: () => ({}),
	};
}

type AdapterState = {
	readonly plan: ServicePlan;
	readonly context: EntryContext;
};

function chooseInstance(action: ChooseServerAction, {plan: {call: {requestId, workspace}, service}, context}: AdapterState): ServerChoice {
	return context.serverSelector.choose(action, {requestId, workspace, target: service});
}

function denialOf({call: {workspace}, service}: ServicePlan, context: EntryContext): DispatchDenialReason | undefined {
	const document = context.active()?.effective.document;
	const isAllowed = document?.services[service] !== undefined && document.workspaces[workspace]?.services.includes(service) === true;
	return isAllowed ? undefined : 'not-allowed';
}

type SendState = AdapterState & {
	readonly sender: RequestSender;
	readonly watch: (server: ServerId) => WatchedAttempt;
};

function send({dispatch, address, signal, mayStillSend}: SendOptions, {plan, context, sender, watch}: SendState): AsyncIterable<AttemptOutput> {
	const {call: {request, requestId}, service, path, body, repeatable} = plan;
	const {settings, clock, activity} = context;
	const outputs = callService({
		requestId,
		attempt: dispatch.attempt,
		method: request.method ?? 'GET',
		path,
		headers: request.headers,
		body,
		repeatable,
		freshConnection: dispatch.freshConnection,
		address,
		send: async sent => sender.send(dispatch.server, {...sent, mayStillSend}),
		signal,
		maximumBytes: settings.limits.bodyBytes,
	});
	return observeAttempt(reportOverdue(outputs, watch(dispatch.server)), {
		clock,
		signal,
		streamed: false,
		onData() {
			activity.recordData(dispatch.server, clock.monotonic());
		},
		onStage() {
			// Durations are not recorded: the calls of a service differ too much for a slow one to be detected by its duration.
		},
		onEnd(output) {
			recordResult(dispatch, {
				output, requestId, service, context,
			});
		},
	});
}

type RecordResultOptions = {
	readonly output: AttemptOutput;
	readonly requestId: RequestId;
	readonly service: ServiceId;
	readonly context: EntryContext;
};

function recordResult({server, attempt, purpose}: DispatchAction, {output, requestId, service, context: {activity, clock, serverSelector, decisions, connections}}: RecordResultOptions): void {
	const {outcome, reason, failed} = attemptEnd(output);
	decisions.recordAttempt(requestId, {
		attempt, purpose, servers: decisions.get(requestId)?.attempts.find(recorded => recorded.attempt === attempt)?.servers ?? [], server, outcome, reason,
	});
	if (output.type === 'silent') {
		const now = clock.monotonic();
		activity.recordSilent(server, {now, since: now - output.silentMilliseconds});
	}

	if (saysOfServer(output, connections.links.of(service))) {
		serverSelector.recordOutcome(server, failed);
	}
}

function priceOf(service: ServiceId, context: EntryContext): Micros {
	return Math.ceil((context.active()?.effective.document.services[service]?.pricePerCall ?? 0) * microsPerUnit) as Micros;
}

function serviceOf(target: RequestTarget): ServiceId {
	return target.type === 'service' ? target.service : toId<ServiceId>('');
}
