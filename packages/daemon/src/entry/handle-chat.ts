import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	costOf, type Failure, type RequestId, type ServerId, type TokenUsage, type WorkspaceId,
} from '@valehitch/core';
import {readBody} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {type KnownServer} from '@valehitch/membership';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {parseChatBody} from './chat-body.js';
import {callEngine, type EngineAnswer} from './engine-call.js';
import {type EntryContext} from './entry-context.js';
import {type ChatPlan, planChat} from './plan-chat.js';
import {refuse} from './refuse.js';

/** An authenticated request of a caller. */
export type AuthenticatedCall = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly active: ActiveConfiguration;
};

const maximumAttempts = 3;

/**
Serves one chat completion from the body to the settled bill.

@param call The request.
@param context What the entry works with.
@example
```ts
await handleChat(call, context);
```
*/
export async function handleChat(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const body = await readBody(call.request, context.settings.limits.bodyBytes);
	const planned = body.chain(parseChatBody).chain(parsed => planChat({...call, body: parsed}, context));
	if (planned.isLeft()) {
		refuse(call, planned.extract(), context);
		return;
	}

	const plan = planned.extract() as ChatPlan;
	const abort = new AbortController();
	call.response.on('close', () => {
		abort.abort();
	});
	const result = await dispatch({call, plan, signal: abort.signal}, context);
	if (result.isLeft()) {
		refuse(call, result.extract(), context);
	}
}

type Dispatch = {
	readonly call: AuthenticatedCall;
	readonly plan: ChatPlan;
	readonly signal: AbortSignal;
};

async function dispatch(work: Dispatch, context: EntryContext): Promise<Either<Failure, void>> {
	const tried = new Set<ServerId>();
	let lastFailure: Failure | undefined;
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const server = context.servers.chooseEngine(work.plan, tried);
		if (server === undefined) {
			break;
		}

		tried.add(server.announcement.server);
		const result = await attemptOn(server, work, context);
		if (result.isRight()) {
			return Right(undefined);
		}

		const failed = result.extract() as Failure;
		if (failed.kind !== 'no-server') {
			return Left(failed);
		}

		lastFailure = failed;
	}

	return Left(lastFailure ?? {
		kind: 'no-server', message: `Got no engine with ${work.plan.model} ${work.plan.version}`, retryAfterMilliseconds: 1000,
	});
}

async function attemptOn(server: KnownServer, {call, plan, signal}: Dispatch, context: EntryContext): Promise<Either<Failure, void>> {
	context.timeline.record('request-dispatched', {
		requestId: plan.requestId, workspace: plan.workspace, model: plan.model, version: plan.version, server: server.announcement.server,
	});
	server.inFlight++;
	try {
		const answer = await callEngine({
			plan, address: server.announcement.address, signal, maximumBytes: context.settings.limits.bodyBytes,
		});
		return await answer.caseOf<Promise<Either<Failure, void>>>({
			Left: async failed => Left(failed),
			Right: async engineAnswer => relay({
				call, plan, server, answer: engineAnswer,
			}, context),
		});
	} finally {
		server.inFlight--;
	}
}

type Relay = {
	readonly call: AuthenticatedCall;
	readonly plan: ChatPlan;
	readonly server: KnownServer;
	readonly answer: EngineAnswer;
};

async function relay(work: Relay, context: EntryContext): Promise<Either<Failure, void>> {
	const {call: {response}, plan, answer} = work;
	response.setHeader('Valehitch-Request-Id', plan.requestId);
	response.setHeader('Valehitch-Model', plan.model);
	response.setHeader('Valehitch-Version', plan.version);
	if (plan.sessionToken !== undefined) {
		response.setHeader('Valehitch-Session', plan.sessionToken);
	}

	if (answer.type === 'whole') {
		await settle(work, answer.usage, context);
		response.setHeader('Content-Type', 'application/json');
		response.end(answer.body);
		return Right(undefined);
	}

	response.setHeader('Content-Type', 'text/event-stream');
	for await (const event of answer.events) {
		if (event.type === 'data') {
			response.write(`data: ${event.data}\n\n`);
			continue;
		}

		if (event.type === 'broken') {
			await settle(work, event.usage, context, 'failed');
			response.destroy();
			return Right(undefined);
		}

		await settle(work, event.usage, context);
		response.end('data: [DONE]\n\n');
	}

	return Right(undefined);
}

async function settle({plan, server}: Relay, usage: TokenUsage, context: EntryContext, outcome: 'answered' | 'failed' = 'answered'): Promise<void> {
	const prices = context.active()?.effective.document.models[plan.model]?.versions[plan.version]?.prices ?? {input: 0, output: 0};
	const cost = costOf(prices, usage);
	await context.bills.settle({
		workspace: plan.workspace,
		request: plan.requestId,
		instance: context.settings.instance,
		lines: [{
			server: server.announcement.server, model: plan.model, version: plan.version, usage, cost, purpose: 'first',
		}],
		total: cost,
		outcome,
		settledAt: context.clock.now().getTime(),
	});
}

