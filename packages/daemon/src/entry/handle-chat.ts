import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestId, toId, type WorkspaceId} from '@valehitch/core';
import {type IdempotencyKey} from '@valehitch/control';
import {type RequestPlan} from '@valehitch/routing';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {sha256} from '../digest.js';
import {type CallerHeaders} from './caller-headers.js';
import {ChatAdapter} from './chat-adapter.js';
import {parseChatBody} from './chat-body.js';
import {type EntryContext} from './entry-context.js';
import {type RequestKey} from './life/request-claim.js';
import {RequestRun} from './life/request-run.js';
import {type ChatPlan, newSession, planChat} from './plan-chat.js';
import {readCallerBody} from './read-caller-body.js';
import {refuse} from './refuse.js';

/** An authenticated request of a caller. */
export type AuthenticatedCall = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly headers: CallerHeaders;
	readonly active: ActiveConfiguration;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

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
	const body = await readCallerBody(call.request, context.settings.limits.bodyBytes);
	const parsed = body.chain(parseChatBody);
	const planned = parsed.chain(chat => planChat({...call, body: chat}, context));
	if (planned.isLeft()) {
		refuse(call, planned.extract(), context);
		return;
	}

	const chat = planned.unsafeCoerce();
	const key = requestKey(call, body.unsafeCoerce());
	const plan = lifePlan(call, {chat, claimed: key !== undefined});
	const adapter = new ChatAdapter(chat, {
		context,
		deadline: plan.deadline,
		planAgain: () => planChat({...call, active: context.active() ?? call.active, body: chat.body}, context),
	});
	const end = context.inProgress.begin(chat);
	await new RequestRun({
		...call, plan, adapter, key, context,
	}).run();
	end();
}

/**
The idempotency key of a request, where it carries one, with the digest of method, path and body.

@param call The request.
@param body Its body.
@returns The key, or undefined where there is none.
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

type ChatLife = {
	readonly chat: ChatPlan;
	readonly claimed: boolean;
};

function lifePlan({headers, arrivedAt}: AuthenticatedCall, {chat, claimed}: ChatLife): RequestPlan {
	const {model, version, rule, facts, escalatesTo} = chat;
	const isPinned = headers.session !== '' && headers.session !== newSession;
	return {
		target: {type: 'version', model, version},
		session: isPinned ? 'token' : 'none',
		repeatable: true,
		claimed,
		finishWithoutCaller: claimed,
		streamed: facts.stream,
		judged: escalatesTo !== undefined,
		deadline: arrivedAt + Math.min(rule.deadlineMilliseconds, headers.deadlineMilliseconds ?? rule.deadlineMilliseconds),
		promptTokens: facts.promptTokens,
	};
}
