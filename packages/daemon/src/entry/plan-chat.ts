import {type IncomingMessage} from 'node:http';
import {
	type Failure, failure, type ModelId, type PolicyRule, type RequestFacts, type RequestId, toId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {chooseVersion} from '@valehitch/policy';
import {type Either, Left, Right} from 'purify-ts';
import {readSessionToken, writeSessionToken} from '@valehitch/routing';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {mayServeVersion} from '../distribution/may-serve-version.js';
import {type ChatBody, factsOf} from './chat-body.js';
import {type EntryContext} from './entry-context.js';

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
};

/** An authenticated chat request. */
export type ChatArrival = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly request: IncomingMessage;
	readonly body: ChatBody;
	readonly active: ActiveConfiguration;
};

const automaticModel = 'auto';
const newSession = 'new';
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
	const {request, body, workspace, active} = arrival;
	const sessionHeader = headerText(request, 'valehitch-session');
	const facts = factsOf(body, {class: headerText(request, 'valehitch-class'), session: sessionHeader !== ''});
	const rule = active.policies.get(workspace)?.(facts);
	if (rule === undefined) {
		return Left(failure('forbidden', `Got a request that no policy rule of workspace ${workspace} covers`));
	}

	if (sessionHeader !== '' && sessionHeader !== newSession) {
		return continueSession({
			...arrival, facts, rule, token: sessionHeader,
		}, context);
	}

	return chooseFresh({
		...arrival, facts, rule, session: sessionHeader === newSession,
	}, context);
}

type Classified = ChatArrival & {readonly facts: RequestFacts; readonly rule: PolicyRule};

function continueSession(arrival: Classified & {readonly token: string}, context: EntryContext): Either<Failure, ChatPlan> {
	return readSessionToken(arrival.token, context.settings.keys.sessions).chain(session => {
		if (session.workspace !== arrival.workspace) {
			return Left(failure('session-invalid', 'Got a session token of another workspace'));
		}

		const {model, version} = session;
		const {document} = arrival.active.effective;
		const state = document.models[model]?.versions[version]?.state ?? 'withdrawn';
		if (state === 'withdrawn' || document.workspaces[arrival.workspace]?.allowed[model]?.includes(version) !== true) {
			return Left(failure('session-ended', `Got a session on ${model} ${version}, which is withdrawn or no longer allowed; wanted a new session`));
		}

		if (!mayServeVersion(arrival.active, {model, version, serve: context.settings.isolation.serve})) {
			return Left(failure(
				'no-configuration',
				`Got a session on ${model} ${version}, which an instance without a configuration lease may not serve`,
				{retryAfterMilliseconds: retryAfterIsolationMilliseconds},
			));
		}

		return Right({
			...planOf(arrival), model, version, sessionToken: arrival.token,
		});
	});
}

function chooseFresh(arrival: Classified & {readonly session: boolean}, context: EntryContext): Either<Failure, ChatPlan> {
	const {workspace, facts, rule, active, requestId} = arrival;
	const named = facts.model === automaticModel ? undefined : toId<ModelId>(facts.model);
	if (named !== undefined && active.effective.document.models[named] === undefined) {
		return Left(failure('unknown-model', `Got model ${facts.model}, wanted auto or a configured model`));
	}

	const choice = chooseVersion(
		{
			id: requestId, workspace, facts, ...(named !== undefined && {namedModel: named}),
		},
		{
			configuration: active.effective,
			rule,
			isServed: (model, version) => mayServeVersion(active, {model, version, serve: context.settings.isolation.serve}) && context.servers.isServed(model, version),
			quality: context.ratings.quality,
			isStoppedHere: context.ratings.isStoppedHere,
		},
	);
	return choice.map(({chosen: {model, version}}) => ({
		...planOf(arrival),
		model,
		version,
		...(arrival.session && {
			sessionToken: writeSessionToken({
				workspace, model, version, startedAt: context.clock.now().getTime(),
			}, context.settings.keys.sessions),
		}),
	}));
}

function planOf({requestId, workspace, rule, facts, body}: Classified): Omit<ChatPlan, 'model' | 'version'> {
	return {
		requestId, workspace, rule, facts, body,
	};
}

function headerText(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}
