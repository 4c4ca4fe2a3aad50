import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type KnownServer} from '@valehitch/membership';
import {type DispatchDenialReason, type RequestEvent} from '@valehitch/routing';
import {type EntryContext} from '../entry-context.js';
import {findServer} from '../find-server.js';
import {type AttemptSet} from './attempt-set.js';
import {type PartialAnswer, type DispatchAction, type RequestAdapter} from './request-adapter.js';

/** Options of {@linkcode dispatchAttempt}. */
export type DispatchAttemptOptions = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly adapter: RequestAdapter;
	readonly attempts: AttemptSet;
	/** The part of the answer that the caller has received. */
	readonly partialAnswer: PartialAnswer;
	readonly context: Pick<EntryContext, 'servers' | 'timeline'>;
};

const emptyAnswer: PartialAnswer = {text: '', tokens: 0};

/**
Sends an attempt, after a final check that the target and the server may still receive requests.

@param dispatch The attempt.
@param options The request, its adapter and its attempts.
@returns The event of a denial, or undefined if the attempt was sent.
@example
```ts
const denied = dispatchAttempt(action, options);
```
*/
export function dispatchAttempt(dispatch: DispatchAction, options: DispatchAttemptOptions): RequestEvent | undefined {
	const {context, adapter, workspace, requestId} = options;
	const {attempt, server, target, purpose, resumeFrom} = dispatch;
	const known = findServer(context.servers, server);
	const denial = adapter.checkDispatch(target) ?? denialOf(known);
	if (denial !== undefined || known === undefined) {
		return {type: 'dispatch-denied', attempt, reason: denial ?? 'server-gone'};
	}

	context.timeline.record('request-dispatched', {
		requestId, workspace, server, ...(target.type === 'version' && {model: target.model, version: target.version}), details: {attempt, purpose, resumeFrom},
	});
	void send(dispatch, known, options);
	return undefined;
}

async function send(dispatch: DispatchAction, server: KnownServer, {context, adapter, attempts, partialAnswer}: DispatchAttemptOptions): Promise<void> {
	const {attempt: number, resumeFrom} = dispatch;
	const resumed = resumeFrom === 0 ? emptyAnswer : partialAnswer;
	server.inFlight++;
	await attempts.start({
		number,
		resumeFrom,
		call: signal => adapter.send({
			dispatch,
			address: server.announcement.address,
			signal,
			mayStillSend() {
				const denial = adapter.checkDispatch(dispatch.target) ?? denialOf(findServer(context.servers, dispatch.server));
				attempts.recordDenial(number, denial);
				return denial === undefined;
			},
			partialAnswer: resumed,
		}),
	});
	server.inFlight--;
}

function denialOf(server: KnownServer | undefined): DispatchDenialReason | undefined {
	if (server === undefined) {
		return 'server-gone';
	}

	return server.state === 'joined' ? undefined : 'server-draining';
}
