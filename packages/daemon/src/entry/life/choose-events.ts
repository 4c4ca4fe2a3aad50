import {type RequestEvent, type RequestTarget} from '@valehitch/routing';
import {type ChooseServerAction, type RequestAdapter} from './request-adapter.js';

const retryAfterMilliseconds = 1000;

/**
Chooses another version after one was lost before any dispatch.

@param adapter The adapter of the request.
@param lost The version that was lost.
@returns The event that tells the version, or that there is none.
@example
```ts
run.take(chooseVersionEvent(adapter, lost));
```
*/
export function chooseVersionEvent(adapter: RequestAdapter, lost: RequestTarget): RequestEvent {
	return adapter.chooseVersion(lost).caseOf<RequestEvent>({
		Left: failed => ({type: 'no-version', failure: failed}),
		Right: ({target, judged}) => ({type: 'version-chosen', target, judged}),
	});
}

/** What the choice of a server depends on besides the action. */
export type ChooseServerEventOptions = {
	readonly adapter: RequestAdapter;
	/** Whether an answer can go on right after what the caller got. */
	readonly isResumable: boolean;
};

/**
Chooses a server for an attempt; there is none for a resume that could not be exact.

@param action What the life of the request asks for.
@param options The adapter, and whether the answer can be resumed.
@returns The event that tells the server, or that there is none.
@example
```ts
run.take(chooseServerEvent(action, {adapter, isResumable: true}));
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
