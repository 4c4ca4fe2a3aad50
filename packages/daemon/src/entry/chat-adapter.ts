import {
	costOf, type Failure, failure, type Prices, versionKey,
} from '@valehitch/core';
import {type KnownServer} from '@valehitch/membership';
import {type DispatchDenial, type RequestTarget} from '@valehitch/routing';
import {Left} from 'purify-ts';
import {mayServeVersion} from '../distribution/may-serve-version.js';
import {callEngine} from './engine-call.js';
import {type EntryContext} from './entry-context.js';
import {
	type ChooseServerAction, type RequestAdapter, type SendOptions, type ServerChoice,
} from './life/request-adapter.js';
import {type ChatPlan} from './plan-chat.js';
import {stallMillisecondsOf} from './stall-milliseconds.js';

/** What a chat adapter needs besides the plan. */
export type ChatAdapterOptions = {
	readonly context: EntryContext;
	/** When the last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
};

type VersionTarget = Extract<RequestTarget, {readonly type: 'version'}>;

const retryAfterMilliseconds = 1000;
const noPrices: Prices = {input: 0, output: 0};

/**
Makes the adapter of a chat request.

@param plan The request with its version chosen.
@param options What the entry works with, and the deadline.
@returns The adapter.
@example
```ts
const adapter = chatAdapter(plan, {context, deadline});
```
*/
export function chatAdapter(plan: ChatPlan, {context, deadline}: ChatAdapterOptions): RequestAdapter {
	return {
		chooseServer: action => chooseEngine(action, context),
		denialOf: target => denialOf(asVersion(target), {plan, context}),
		send: options => send(options, {plan, context, deadline}),
		chooseVersion: lost => Left(lostVersion(asVersion(lost))),
		judge: () => ({verdict: 'accepted'}),
		costOf: (target, usage) => costOf(pricesOf(asVersion(target), context), usage),
		headersOf(target) {
			const {model, version} = asVersion(target);
			return {
				'Valehitch-Model': model,
				'Valehitch-Version': version,
				...(plan.sessionToken !== undefined && {'Valehitch-Session': plan.sessionToken}),
			};
		},
	};
}

type Surroundings = {
	readonly plan: ChatPlan;
	readonly context: EntryContext;
};

function chooseEngine({target, excluded}: ChooseServerAction, {servers}: EntryContext): ServerChoice {
	const server: KnownServer | undefined = servers.chooseEngine(asVersion(target), new Set(excluded));
	return server === undefined
		? {type: 'none', reason: 'none', retryAfterMilliseconds}
		: {type: 'chosen', server: server.announcement.server};
}

function denialOf({model, version}: VersionTarget, {plan: {workspace}, context}: Surroundings): DispatchDenial | undefined {
	const active = context.active();
	const document = active?.effective.document;
	if (active === undefined || document?.workspaces[workspace]?.allowed[model]?.includes(version) !== true) {
		return 'not-allowed';
	}

	const state = document.models[model]?.versions[version]?.state ?? 'withdrawn';
	if (state === 'withdrawn') {
		return 'version-withdrawn';
	}

	return mayServeVersion(active, {model, version, serve: context.settings.isolation.serve}) ? undefined : 'version-stopped';
}

function send({dispatch, address, signal, before}: SendOptions, {plan, context, deadline}: Surroundings & {readonly deadline: number}): ReturnType<typeof callEngine> {
	const {model, version} = asVersion(dispatch.target);
	const {settings, clock} = context;
	return callEngine({
		requestId: plan.requestId,
		attempt: dispatch.attempt,
		versionKey: versionKey(model, version),
		body: plan.body,
		streamed: plan.facts.stream,
		priority: plan.rule.priority,
		resumeText: before.text,
		tokensBefore: before.tokens,
		address,
		signal,
		stallMilliseconds: stallMillisecondsOf({
			streamed: plan.facts.stream, remainingMilliseconds: deadline - clock.monotonic(), settings,
		}),
		maximumBytes: settings.limits.bodyBytes,
	});
}

function pricesOf({model, version}: VersionTarget, context: EntryContext): Prices {
	return context.active()?.effective.document.models[model]?.versions[version]?.prices ?? noPrices;
}

function lostVersion({model, version}: VersionTarget): Failure {
	return failure('no-server', `Got a request for ${model} ${version}, which was withdrawn before the request was sent`, {retryAfterMilliseconds});
}

function asVersion(target: RequestTarget): VersionTarget {
	if (target.type !== 'version') {
		throw new TypeError(`Got service ${target.service}, wanted a version of a model`);
	}

	return target;
}
