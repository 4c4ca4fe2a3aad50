import {type RequestEvent, type RequestTarget} from '@valehitch/routing';
import {type ChooseServerAction, type RequestAdapter} from './request-adapter.js';

const retryAfterMilliseconds = 1000;

/**
Chooses another version after one became unavailable before any dispatch.

@param adapter The adapter of the request.
@param lost The unavailable version.
@returns The event with the version, or with the reason why there is none.
@example
```ts
execution.handleEvent(chooseVersionEvent(adapter, lost));
```
*/
export function chooseVersionEvent(adapter: RequestAdapter, lost: RequestTarget): RequestEvent {
	return adapter.chooseVersion(lost).caseOf<RequestEvent>({
		Left: failed => ({type: 'no-version', failure: failed}),
		Right: ({target, judged}) => ({type: 'version-chosen', target, judged}),
	});
}

/** Options of {@linkcode chooseServerEvent}. */
export type ChooseServerEventOptions = {
	readonly adapter: RequestAdapter;
	/** Whether the answer can be resumed exactly after the part that the caller has received. */
	readonly isResumable: boolean;
};

/**
Chooses a server for an attempt. A resume that could not be exact gets no server.

@param action The action of the request's state machine.
@param options The adapter, and whether the answer can be resumed.
@returns The event with the server, or with the reason why there is none.
@example
```ts
execution.handleEvent(chooseServerEvent(action, {adapter, isResumable: true}));
```
*/
export function chooseServerEvent(action: ChooseServerAction, {adapter, isResumable}: ChooseServerEventOptions): RequestEvent {
	const {attempt, purpose} = action;
	if (purpose === 'resume' && !isResumable) {
		return {
			type: 'no-server', attempt, reason: 'none', retryAfterMilliseconds,
		};
	}

	const choice = adapter.chooseServer(action);
	return choice.type === 'chosen'
		? {type: 'server-chosen', attempt, server: choice.server}
		: {
			type: 'no-server', attempt, reason: choice.reason, retryAfterMilliseconds: choice.retryAfterMilliseconds,
		};
}
