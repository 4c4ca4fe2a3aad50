import {
	type Failure, failure, type ModelId, type PolicyRule, type RequestFacts, type RequestId, toId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {
	type Choice, chooseVersion, mayDispatch, type VersionTarget,
} from '@valehitch/policy';
import {type Either, Left, Right} from 'purify-ts';
import {writeSessionToken} from '@valehitch/routing';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type CallerHeaders} from './caller-headers.js';
import {type ChatBody, factsOf} from './chat-body.js';
import {type EntryContext} from './entry-context.js';
import {sessionOf} from './session-of.js';

/** A chat request with its model and version chosen. */
export type ChatPlan = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly model: ModelId;
	readonly version: VersionId;
	readonly rule: PolicyRule;
	readonly facts: RequestFacts;
	readonly body: ChatBody;
	/** The token for the next request of the session, where there is one. */
	readonly sessionToken?: string;
	/** The version that takes over where the answer of the first shows a sign of the rule. */
	readonly escalatesTo?: VersionTarget;
	/** Whether nothing met the quality target. */
	readonly belowTarget: boolean;
	/** What was considered; none where a session decided. */
	readonly considered: Choice['considered'];
};

/** An authenticated chat request. */
export type ChatArrival = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly headers: CallerHeaders;
	readonly body: ChatBody;
	readonly active: ActiveConfiguration;
};

const automaticModel = 'auto';

/** What a caller sends for a session that is to begin. */
export const newSession = 'new';

const retryAfterIsolationMilliseconds = 1000;

/**
Classifies a chat request and chooses its model and version.

@param arrival The request.
@param context What the entry works with.
@returns The plan, or the failure that the caller is told.
@example
```ts
planChat(arrival, context).map(plan => plan.version);
```
*/
export function planChat(arrival: ChatArrival, context: EntryContext): Either<Failure, ChatPlan> {
	const {headers, body, workspace, active} = arrival;
	const facts = factsOf(body, {class: headers.class, session: headers.session !== ''});
	const rule = active.policies.get(workspace)?.(facts);
	if (rule === undefined) {
		return Left(failure('forbidden', `Got a request that no policy rule of workspace ${workspace} covers`));
	}

	return headers.session === '' || headers.session === newSession
		? chooseFresh({...arrival, facts, rule}, context)
		: continueSession({...arrival, facts, rule}, context);
}

type Classified = ChatArrival & {readonly facts: RequestFacts; readonly rule: PolicyRule};

function continueSession(arrival: Classified, context: EntryContext): Either<Failure, ChatPlan> {
	const {workspace, headers, active} = arrival;
	return sessionOf(headers.session, {workspace, keys: context.settings.keys.sessions}).chain(({model, version}) => {
		const verdict = mayDispatch(active.effective, {
			workspace, model, version, isolated: active.isolated, isolatedServe: context.settings.isolation.serve,
		});
		if (verdict === 'isolated') {
			return Left(failure(
				'no-configuration',
				`Got a session on ${model} ${version}, which an instance without a configuration lease may not serve`,
				{retryAfterMilliseconds: retryAfterIsolationMilliseconds},
			));
		}

		if (verdict !== 'allowed') {
			return Left(failure('session-ended', `Got a session on ${model} ${version}, which is withdrawn, stopped or no longer allowed (${verdict}); wanted a new session`));
		}

		return Right({
			...planOf(arrival), model, version, sessionToken: headers.session, belowTarget: false, considered: [],
		});
	});
}

function chooseFresh(arrival: Classified, context: EntryContext): Either<Failure, ChatPlan> {
	const {workspace, facts, active, requestId, headers} = arrival;
	const named = facts.model === automaticModel ? undefined : toId<ModelId>(facts.model);
	if (named !== undefined && !Object.hasOwn(active.effective.document.models, named)) {
		return Left(failure('unknown-model', `Got model ${facts.model}, wanted auto or a configured model`));
	}

	const isSession = headers.session === newSession;
	const choice = chooseVersion(
		{
			id: requestId, workspace, facts, ...(named !== undefined && {namedModel: named}),
		},
		{
			configuration: active.effective,
			rule: arrival.rule,
			isServed: (model, version) => context.servers.isServed(model, version),
			isolated: active.isolated,
			isolatedServe: context.settings.isolation.serve,
			inProgress: target => context.inProgress.get(target),
			quality: context.ratings.quality,
			isStoppedHere: context.ratings.isStoppedHere,
		},
	);
	return choice.map(found => toPlan(found, {arrival, isSession}, context));
}

type Fresh = {
	readonly arrival: Classified;
	readonly isSession: boolean;
};

function toPlan({chosen, belowTarget, considered}: Choice, {arrival, isSession}: Fresh, {clock, settings}: EntryContext): ChatPlan {
	const {model, version} = chosen;
	const {workspace} = arrival;
	return {
		...planOf(arrival),
		model,
		version,
		belowTarget,
		considered,
		...(chosen.kind === 'cascade' && {escalatesTo: chosen.escalatesTo}),
		...(isSession && {
			sessionToken: writeSessionToken({
				workspace, model, version, startedAt: clock.now().getTime(),
			}, settings.keys.sessions),
		}),
	};
}

function planOf({requestId, workspace, rule, facts, body}: Classified): Pick<ChatPlan, 'requestId' | 'workspace' | 'rule' | 'facts' | 'body'> {
	return {
		requestId, workspace, rule, facts, body,
	};
}
