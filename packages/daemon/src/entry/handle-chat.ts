import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestId, toId, type WorkspaceId} from '@valehitch/core';
import {type IdempotencyKey} from '@valehitch/control';
import {type VersionTarget} from '@valehitch/policy';
import {type HedgeDelays, hedgeDelays, type RequestPlan} from '@valehitch/routing';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {sha256} from '../digest.js';
import {type CallerHeaders} from './caller-headers.js';
import {ChatAdapter} from './chat-adapter.js';
import {parseChatBody} from './chat-body.js';
import {type EntryContext} from './entry-context.js';
import {type RequestKey} from './lifecycle/request-claim.js';
import {RequestExecution} from './lifecycle/request-execution.js';
import {type ChatPlan, newSessionValue, planChat} from './plan-chat.js';
import {readCallerBody} from './read-caller-body.js';
import {refusalByConfiguration} from './refusal-by-configuration.js';
import {refuse} from './refuse.js';
import {type AdmissionDemand} from './traffic/admission-pools.js';

const expectedOutputTokens = 200;
/** The interval at which a request that may have run looks for an available server again, since its caller cannot safely resend it. */
const serverRetryMilliseconds = 1000;

/** An authenticated request from a caller. */
export type AuthenticatedCall = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly headers: CallerHeaders;
	readonly active: ActiveConfiguration;
	/** When the request arrived, in milliseconds of the monotonic clock. */
	readonly arrivedAt: number;
};

/**
Handles a chat completion, from reading the body to settling the bill.

@param call The request.
@param context The shared state of the entry component.
@example
```ts
await handleChat(call, context);
```
*/
export async function handleChat(call: AuthenticatedCall, context: EntryContext): Promise<void> {
	const body = await readCallerBody(call.request, context.settings.limits.bodyBytes);
	const parsed = body.chain(parseChatBody);
	const planned = parsed.chain(chat => planChat({...call, body: chat}, context));
	if (planned.isLeft()) {
		refuse(call, refusalByConfiguration(planned.extract(), call.active), context);
		return;
	}

	const chat = planned.unsafeCoerce();
	const key = requestKey(call, body.unsafeCoerce());
	const plan = requestPlan(call, {chat, claimed: key !== undefined, hedge: hedgeDelays({...chat.facts, ...chat, streamed: chat.facts.stream}, context)});
	recordDecision(chat, context);
	const adapter = new ChatAdapter(chat, {
		context,
		deadline: plan.deadline,
		replan: () => planChat({...call, active: context.active() ?? call.active, body: chat.body}, context),
	});
	const end = context.inProgress.begin(chat);
	const ranAt = context.clock.now().getTime();
	const answeredBy = await new RequestExecution({
		...call, plan, adapter, key, demand: demandOf(call, {chat, plan}), context,
	}).run();
	end();
	if (answeredBy?.type === 'version') {
		storeForRating(adapter.plan, {answeredBy, ranAt, context});
	}
}

type ServedChat = {
	readonly answeredBy: VersionTarget;
	readonly ranAt: number;
	readonly context: EntryContext;
};

/** Stores which version answered, since a rating arrives later and refers to the request by its id only. */
function storeForRating({requestId, workspace, rule, escalatesTo, model: first}: ChatPlan, {answeredBy: {model, version}, ranAt, context}: ServedChat): void {
	const isAccepted = escalatesTo !== undefined && model === first;
	context.ratings.addServedRequest({
		requestId, workspace, rule: rule.name, model, version, ranAt, measure: isAccepted ? 'accepted-rating' : 'rating',
	});
}

function recordDecision({requestId, workspace, considered}: ChatPlan, {decisions, clock}: EntryContext): void {
	decisions.add({
		request: requestId, workspace, at: clock.now().getTime(), versions: considered.map(({model, version, verdict}) => ({model, version, verdict})), attempts: [],
	});
}

type PlannedChat = {
	readonly chat: ChatPlan;
	readonly plan: RequestPlan;
};

function demandOf({requestId, workspace, active}: AuthenticatedCall, {chat: {rule, facts}, plan}: PlannedChat): AdmissionDemand {
	return {
		id: requestId,
		workspace,
		target: plan.target,
		weight: active.effective.document.workspaces[workspace]?.weight ?? 1,
		priority: rule.priority,
		cost: Math.max(1, facts.promptTokens + (facts.maxTokens === 0 ? expectedOutputTokens : Math.min(facts.maxTokens, expectedOutputTokens))),
		deadline: plan.deadline,
	};
}

/**
Returns the idempotency key of a request with the digest of its method, path and body.

@param call The request.
@param body Its body.
@returns The key and the digest, or undefined if the request has no idempotency key.
@example
```ts
requestKey(call, body)?.digest;
```
*/
export function requestKey({request, headers}: Pick<AuthenticatedCall, 'request' | 'headers'>, body: Uint8Array): RequestKey | undefined {
	return headers.key === undefined
		? undefined
		: {key: toId<IdempotencyKey>(headers.key), digest: sha256(`${request.method ?? ''}\n${request.url ?? ''}\n${sha256(body)}`)};
}

type RequestPlanOptions = {
	readonly chat: ChatPlan;
	readonly claimed: boolean;
	readonly hedge: HedgeDelays | undefined;
};

function requestPlan({headers, arrivedAt}: AuthenticatedCall, {chat, claimed, hedge}: RequestPlanOptions): RequestPlan {
	const {model, version, rule, facts, escalatesTo} = chat;
	const isPinned = headers.session !== '' && headers.session !== newSessionValue;
	return {
		target: {type: 'version', model, version},
		session: isPinned ? 'token' : 'none',
		repeatable: true,
		requiresClaim: claimed,
		finishAfterCallerLeaves: claimed,
		streamed: facts.stream,
		judged: escalatesTo !== undefined,
		deadline: arrivedAt + Math.min(rule.deadlineMilliseconds, headers.deadlineMilliseconds ?? rule.deadlineMilliseconds),
		promptTokens: facts.promptTokens,
		serverRetryMilliseconds,
		...(hedge !== undefined && {hedge}),
	};
}
