import {
	type Failure, failure, type ModelId, type PolicyRule, type RequestFacts, type RequestId, toId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {
	type VersionChoice, chooseVersion, checkDispatch, type VersionTarget,
} from '@valehitch/policy';
import {type Either, Left, Right} from 'purify-ts';
import {writeSessionToken} from '@valehitch/routing';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type CallerHeaders} from './caller-headers.js';
import {type ChatBody, factsOf} from './chat-body.js';
import {type EntryContext} from './entry-context.js';
import {verifySession} from './verify-session.js';

/** A chat request with the chosen model and version. */
export type ChatPlan = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly model: ModelId;
	readonly version: VersionId;
	readonly rule: PolicyRule;
	readonly facts: RequestFacts;
	readonly body: ChatBody;
	/** The session token for the next request, if the request belongs to a session. */
	readonly sessionToken?: string;
	/** The version to escalate to if the first answer meets an escalation condition of the rule. */
	readonly escalatesTo?: VersionTarget;
	/** Whether no version met the quality target. */
	readonly belowTarget: boolean;
	/** The versions that were considered; empty if the session determined the version. */
	readonly considered: VersionChoice['considered'];
};

/** An authenticated chat request. */
export type ChatRequest = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly headers: CallerHeaders;
	readonly body: ChatBody;
	readonly active: ActiveConfiguration;
};

const automaticModel = 'auto';

/** The header value with which a caller starts a new session. */
export const newSessionValue = 'new';

const retryAfterIsolationMilliseconds = 1000;

/**
Matches a chat request to a policy rule and chooses its model and version.

@param request The request.
@param context The shared state of the entry component.
@returns The plan, or the failure to report to the caller.
@example
```ts
planChat(arrival, context).map(plan => plan.version);
```
*/
export function planChat(request: ChatRequest, context: EntryContext): Either<Failure, ChatPlan> {
	const {headers, body, workspace, active} = request;
	const facts = factsOf(body, {class: headers.class, session: headers.session !== ''});
	const rule = active.policies.get(workspace)?.(facts);
	if (rule === undefined) {
		return Left(failure('forbidden', `No policy rule of workspace ${workspace} matches the request`));
	}

	return headers.session === '' || headers.session === newSessionValue
		? planByPolicy({...request, facts, rule}, context)
		: planBySession({...request, facts, rule}, context);
}

type Classified = ChatRequest & {readonly facts: RequestFacts; readonly rule: PolicyRule};

function planBySession(request: Classified, context: EntryContext): Either<Failure, ChatPlan> {
	const {workspace, headers, active} = request;
	return verifySession(headers.session, {workspace, keys: context.settings.keys.sessions}).chain(({model, version}) => {
		const verdict = checkDispatch(active.effective, {
			workspace, model, version, isolated: active.isolated, isolatedServe: context.settings.isolation.serve,
		});
		if (verdict === 'isolated') {
			return Left(failure(
				'no-configuration',
				`The instance has no valid configuration lease and cannot serve the session's version ${model} ${version}`,
				{retryAfterMilliseconds: retryAfterIsolationMilliseconds},
			));
		}

		if (verdict !== 'allowed') {
			return Left(failure('session-ended', `The session's version ${model} ${version} is withdrawn, stopped or no longer allowed (${verdict}); start a new session`));
		}

		return Right({
			...commonMembersOf(request), model, version, sessionToken: headers.session, belowTarget: false, considered: [],
		});
	});
}

function planByPolicy(request: Classified, context: EntryContext): Either<Failure, ChatPlan> {
	const {workspace, facts, active, requestId, headers} = request;
	const named = facts.model === automaticModel ? undefined : toId<ModelId>(facts.model);
	if (named !== undefined && !Object.hasOwn(active.effective.document.models, named)) {
		return Left(failure('unknown-model', `Unknown model ${facts.model}; expected auto or a configured model`));
	}

	const isSession = headers.session === newSessionValue;
	const choice = chooseVersion(
		{
			id: requestId, workspace, facts, ...(named !== undefined && {namedModel: named}),
		},
		{
			configuration: active.effective,
			rule: request.rule,
			isServed: (model, version) => context.servers.isServed(model, version),
			isolated: active.isolated,
			isolatedServe: context.settings.isolation.serve,
			inProgress: target => context.inProgress.get(target),
			quality: context.ratings.quality,
			isStoppedLocally: context.ratings.isStoppedHere,
		},
	);
	return choice.map(result => toPlan(result, {request, isSession}, context));
}

type ToPlanOptions = {
	readonly request: Classified;
	readonly isSession: boolean;
};

function toPlan({chosen, belowTarget, considered}: VersionChoice, {request, isSession}: ToPlanOptions, {clock, settings}: EntryContext): ChatPlan {
	const {model, version} = chosen;
	const {workspace} = request;
	return {
		...commonMembersOf(request),
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

function commonMembersOf({requestId, workspace, rule, facts, body}: Classified): Pick<ChatPlan, 'requestId' | 'workspace' | 'rule' | 'facts' | 'body'> {
	return {
		requestId, workspace, rule, facts, body,
	};
}
