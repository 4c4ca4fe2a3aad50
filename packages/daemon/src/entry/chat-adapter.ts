import {
	costOf, type Failure, type Prices, versionKey,
} from '@valehitch/core';
import {escalationSign, mayDispatch} from '@valehitch/policy';
import {type DispatchDenial, type RequestTarget} from '@valehitch/routing';
import {type Either} from 'purify-ts';
import {match} from 'ts-pattern';
import {type AttemptOutput} from './attempt-output.js';
import {type JudgedAnswer, readCheckedAnswer} from './checked-answer.js';
import {callEngine} from './engine-call.js';
import {type EntryContext} from './entry-context.js';
import {
	type ChooseServerAction, type Judgement, type RequestAdapter, type SendOptions, type ServerChoice,
} from './life/request-adapter.js';
import {type ChatPlan} from './plan-chat.js';
import {stallMillisecondsOf} from './stall-milliseconds.js';

/** What a chat adapter needs besides the plan. */
export type ChatAdapterOptions = {
	readonly context: EntryContext;
	/** When the last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** Plans the request anew, by the configuration in force. */
	readonly planAgain: () => Either<Failure, ChatPlan>;
};

type VersionTarget = Extract<RequestTarget, {readonly type: 'version'}>;

const retryAfterMilliseconds = 1000;
const noPrices: Prices = {input: 0, output: 0};

/**
The adapter of a chat request.

@example
```ts
const adapter = new ChatAdapter(plan, {context, deadline, planAgain});
```
*/
export class ChatAdapter implements RequestAdapter {
	readonly #options: ChatAdapterOptions;
	#plan: ChatPlan;

	constructor(plan: ChatPlan, options: ChatAdapterOptions) {
		this.#plan = plan;
		this.#options = options;
	}

	chooseServer({target, excluded}: ChooseServerAction): ServerChoice {
		const server = this.#options.context.servers.chooseEngine(asVersion(target), new Set(excluded));
		return server === undefined
			? {type: 'none', reason: 'none', retryAfterMilliseconds}
			: {type: 'chosen', server: server.announcement.server};
	}

	denialOf(target: RequestTarget): DispatchDenial | undefined {
		const {context} = this.#options;
		const active = context.active();
		if (active === undefined) {
			return 'not-allowed';
		}

		const {model, version} = asVersion(target);
		const verdict = mayDispatch(active.effective, {
			workspace: this.#plan.workspace, model, version, isolated: active.isolated, isolatedServe: context.settings.isolation.serve, isStoppedHere: context.ratings.isStoppedHere, belowTarget: this.#plan.belowTarget,
		});
		return match(verdict)
			.with('allowed', () => undefined)
			.with('isolated', () => 'version-stopped' as const)
			.otherwise(denial => denial);
	}

	send({dispatch, address, signal, before}: SendOptions): AsyncIterable<AttemptOutput> {
		const {context: {settings, clock}, deadline} = this.#options;
		const {requestId, body, facts: {stream}, rule} = this.#plan;
		const {model, version} = asVersion(dispatch.target);
		return callEngine({
			requestId,
			attempt: dispatch.attempt,
			versionKey: versionKey(model, version),
			body,
			streamed: stream,
			priority: rule.priority,
			resumeText: before.text,
			tokensBefore: before.tokens,
			address,
			signal,
			stallMilliseconds: stallMillisecondsOf({streamed: stream, remainingMilliseconds: deadline - clock.monotonic(), settings}),
			maximumBytes: settings.limits.bodyBytes,
		});
	}

	chooseVersion(): ReturnType<RequestAdapter['chooseVersion']> {
		return this.#options.planAgain().map(plan => {
			this.#plan = plan;
			return {target: {type: 'version', model: plan.model, version: plan.version}, judged: plan.escalatesTo !== undefined};
		});
	}

	judge(_target: RequestTarget, answer: JudgedAnswer): Judgement {
		const {escalatesTo, rule: {escalation}} = this.#plan;
		const isEscalated = escalatesTo !== undefined && escalation !== undefined
			&& escalationSign(readCheckedAnswer(answer), escalation) !== undefined;
		return isEscalated
			? {verdict: 'escalated', target: {type: 'version', ...escalatesTo}, judged: false}
			: {verdict: 'accepted'};
	}

	costOf(target: RequestTarget, usage: Parameters<typeof costOf>[1]): ReturnType<typeof costOf> {
		const {model, version} = asVersion(target);
		const document = this.#options.context.active()?.effective.document;
		return costOf(document?.models[model]?.versions[version]?.prices ?? noPrices, usage);
	}

	headersOf(target: RequestTarget): Readonly<Record<string, string>> {
		const {model, version} = asVersion(target);
		const {sessionToken} = this.#plan;
		return {
			'Valehitch-Model': model,
			'Valehitch-Version': version,
			...(sessionToken !== undefined && {'Valehitch-Session': sessionToken}),
		};
	}
}

function asVersion(target: RequestTarget): VersionTarget {
	if (target.type !== 'version') {
		throw new TypeError(`Got service ${target.service}, wanted a version of a model`);
	}

	return target;
}
