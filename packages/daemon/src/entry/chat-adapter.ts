import {
	calculateCost, type Failure, type Prices, type ServerId, versionKey,
} from '@valehitch/core';
import {findEscalationSign, checkDispatch} from '@valehitch/policy';
import {
	type DispatchDenialReason, prefixHash, type RequestTarget, stageKey, type StageDuration,
} from '@valehitch/routing';
import {type Either} from 'purify-ts';
import {match} from 'ts-pattern';
import {type AttemptOutput} from './attempt-output.js';
import {type CompleteAnswer, readCheckedAnswer} from './checked-answer.js';
import {callEngine} from './engine-call.js';
import {type EntryContext} from './entry-context.js';
import {attemptEnd} from './attempt-end.js';
import {promptPrefixOf} from './chat-body.js';
import {
	type ChooseServerAction, type DispatchAction, type Judgement, type RequestAdapter, type SendOptions, type ServerChoice,
} from './lifecycle/request-adapter.js';
import {type ChatPlan} from './plan-chat.js';
import {RequestSender} from './request-sender.js';
import {saysOfServer} from './says-of-server.js';
import {engineGroup} from './server-group-of.js';
import {reportOverdue} from './report-overdue.js';
import {observeAttempt} from './traffic/observe-attempt.js';
import {type WatchedAttempt} from './traffic/overdue-attempts.js';
import {watchPauses} from './watch-pauses.js';

/** Options of a {@linkcode ChatAdapter}. */
export type ChatAdapterOptions = {
	readonly context: EntryContext;
	/** When the last byte is due, in milliseconds of the monotonic clock. */
	readonly deadline: number;
	/** Plans the request again with the configuration in force. */
	readonly replan: () => Either<Failure, ChatPlan>;
};

type VersionTarget = Extract<RequestTarget, {readonly type: 'version'}>;

const noPrices: Prices = {input: 0, output: 0};

/**
The request adapter for chat completions.

@example
```ts
const adapter = new ChatAdapter(plan, {context, deadline, replan});
```
*/
export class ChatAdapter implements RequestAdapter {
	readonly #options: ChatAdapterOptions;
	#plan: ChatPlan;
	readonly #prefixHash: number;
	readonly #sender: RequestSender;
	/** What begins attempts, by version. */
	readonly #watches = new Map<string, (server: ServerId) => WatchedAttempt>();

	constructor(plan: ChatPlan, options: ChatAdapterOptions) {
		this.#plan = plan;
		this.#options = options;
		const {links, relays} = options.context.connections;
		this.#sender = new RequestSender({links: links.of(engineGroup), relays});
		this.#prefixHash = prefixHash(promptPrefixOf(plan.body));
	}

	/** The current plan; replaced when the chosen version became unavailable and the request was planned again. */
	get plan(): ChatPlan {
		return this.#plan;
	}

	chooseServer(action: ChooseServerAction): ServerChoice {
		const {context: {serverSelector}} = this.#options;
		const {requestId, workspace} = this.#plan;
		return serverSelector.choose(action, {
			requestId, workspace, target: versionKeyOf(action.target), prefix: this.#prefixHash,
		});
	}

	checkDispatch(target: RequestTarget): DispatchDenialReason | undefined {
		const {context} = this.#options;
		const active = context.active();
		if (active === undefined) {
			return 'not-allowed';
		}

		const {model, version} = asVersion(target);
		const verdict = checkDispatch(active.effective, {
			workspace: this.#plan.workspace,
			model,
			version,
			isolated: active.isolated,
			isolatedServe: context.settings.isolation.serve,
			isStoppedLocally: context.ratings.isStoppedHere,
			belowTarget: this.#plan.belowTarget,
		});
		return match(verdict)
			.with('allowed', () => undefined)
			.with('isolated', () => 'version-stopped' as const)
			.otherwise(denial => denial);
	}

	send({dispatch, address, signal, mayStillSend, partialAnswer}: SendOptions): AsyncIterable<AttemptOutput> {
		const {context, deadline} = this.#options;
		const {settings: {timing: {stallMilliseconds}, limits}, clock, activity, overdue} = context;
		const {requestId, workspace, body, facts: {stream}, rule} = this.#plan;
		const {server, attempt} = dispatch;
		const target = versionKeyOf(dispatch.target);
		const watch = this.#watches.get(target) ?? overdue.begin({
			workspace, target, timesKey: `${target} ${stream ? 'streamed' : 'whole'}`, isRepeatable: true, deadline, stallMilliseconds,
		});
		this.#watches.set(target, watch);
		const watched = watch(server);
		const outputs = callEngine({
			requestId,
			attempt,
			versionKey: target,
			body,
			streamed: stream,
			priority: rule.priority,
			resumeText: partialAnswer.text,
			tokensBefore: partialAnswer.tokens,
			address,
			send: async request => this.#sender.send(server, {...request, mayStillSend}),
			freshConnection: dispatch.freshConnection,
			signal,
			clock,
			stallMilliseconds,
			reviewPause: watchPauses(context, {
				requestId, attempt, server, target, deadline, targetGap: stallMilliseconds, resumeTime: watched.answerTime,
			}),
			maximumBytes: limits.bodyBytes,
		});
		return observeAttempt(reportOverdue(outputs, watched), {
			clock,
			signal,
			streamed: stream,
			onData() {
				activity.recordData(server, clock.monotonic());
			},
			onStage: (stage, milliseconds) => {
				this.#recordStage(dispatch, {stage, milliseconds});
			},
			onEnd: output => {
				this.#recordResult(dispatch, output);
			},
		});
	}

	chooseVersion(): ReturnType<RequestAdapter['chooseVersion']> {
		return this.#options.replan().map(plan => {
			this.#plan = plan;
			return {target: {type: 'version', model: plan.model, version: plan.version}, judged: plan.escalatesTo !== undefined};
		});
	}

	judge(target: RequestTarget, answer: CompleteAnswer): Judgement {
		const {escalatesTo, workspace, rule: {escalation, name}} = this.#plan;
		const isEscalated = escalatesTo !== undefined && escalation !== undefined
			&& findEscalationSign(readCheckedAnswer(answer), escalation) !== undefined;
		this.#options.context.ratings.recordEscalation({
			...asVersion(target), workspace, rule: name, ranAt: this.#options.context.clock.now().getTime(),
		}, isEscalated);
		return isEscalated
			? {verdict: 'escalated', target: {type: 'version', ...escalatesTo}, judged: false}
			: {verdict: 'accepted'};
	}

	costOf(target: RequestTarget, usage: Parameters<typeof calculateCost>[1]): ReturnType<typeof calculateCost> {
		const {model, version} = asVersion(target);
		const document = this.#options.context.active()?.effective.document;
		return calculateCost(document?.models[model]?.versions[version]?.prices ?? noPrices, usage);
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

	#recordStage({target, resumeFrom}: DispatchAction, time: StageDuration): void {
		const {model, version} = asVersion(target);
		if (time.stage === 'decode') {
			this.#options.context.history.record(versionKeyOf(target), time);
		} else if (resumeFrom === 0) {
			this.#options.context.history.record(stageKey({model, version}), time);
		}
	}

	#recordResult({target, server, attempt, purpose}: DispatchAction, output: AttemptOutput): void {
		const {context: {activity, serverSelector, ratings, decisions, clock, connections}} = this.#options;
		const {requestId, workspace, rule} = this.#plan;
		const {outcome, reason, failed} = attemptEnd(output);
		decisions.recordAttempt(requestId, {
			attempt, purpose, servers: decisions.get(requestId)?.attempts.find(recorded => recorded.attempt === attempt)?.servers ?? [], server, outcome, reason,
		});
		if (output.type === 'silent') {
			const now = clock.monotonic();
			activity.recordSilent(server, {now, since: now - output.silentMilliseconds});
		}

		if (saysOfServer(output, connections.links.of(engineGroup))) {
			serverSelector.recordOutcome(server, failed);
		}

		// A lost connection is no evidence for or against the version.
		if (output.type === 'complete' || output.type === 'failed') {
			ratings.recordOutcome({
				...asVersion(target), workspace, rule: rule.name, ranAt: clock.now().getTime(),
			}, failed);
		}
	}
}

function versionKeyOf(target: RequestTarget): string {
	const {model, version} = asVersion(target);
	return versionKey(model, version);
}

function asVersion(target: RequestTarget): VersionTarget {
	if (target.type !== 'version') {
		throw new TypeError(`Expected a model version as the target, got service ${target.service}`);
	}

	return target;
}
