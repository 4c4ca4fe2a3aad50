import {RequestTransition} from './_request-transition.js';
import {handleAttemptEvent} from './_handle-attempt-event.js';
import {handlePreparationEvent} from './_handle-preparation-event.js';
import {handleExternalEvent} from './_handle-external-event.js';
import {type RequestAction} from './request-action.js';
import {type PreparationEvent, type RequestEvent, type ExternalEvent} from './request-event.js';
import {type RequestPlan} from './request-plan.js';
import {type RequestState} from './request-state.js';

/** The state after an event, and the actions to carry out in order. */
export type RequestStep = {
	readonly state: RequestState;
	readonly actions: readonly RequestAction[];
};

/** The options of `stepRequest`. */
export type StepRequestOptions = {
	readonly event: RequestEvent;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/**
Creates the initial state of a request.

@param plan The properties of the request that are fixed before it starts.
@returns The initial state, and the actions that request admission and set the deadline timer.
@example
```ts
const {state, actions} = startRequest(plan);
```
*/
export function startRequest(plan: RequestPlan): RequestStep {
	return {
		state: {
			plan,
			stage: 'admitting',
			target: plan.target,
			judged: plan.judged && plan.repeatable,
			claim: 'none',
			bill: 'none',
			attempts: [],
			nextAttemptNumber: 1,
			dispatchDenials: 0,
			excludedServers: [],
			triedServers: [],
			freshConnection: false,
			answeringAttempt: undefined,
			deliveredBytes: 0,
			disallowedTargets: [],
			hedged: false,
			serverRetryScheduled: false,
			connectionFailures: 0,
			reportedFailure: false,
			stopping: false,
			answersDueAt: undefined,
			callerLeft: false,
		},
		actions: [
			{type: 'set-timer', timer: 'deadline', at: plan.deadline},
			{type: 'request-admission'},
		],
	};
}

/**
Applies one event to the state of a request. Events after the end of the request are ignored.

@param state The current state.
@param options The event and the time.
@returns The new state and the actions to carry out, in order.
@example
```ts
const {state, actions} = stepRequest(before, {event: {type: 'admitted'}, now: clock.monotonic()});
```
*/
export function stepRequest(state: RequestState, {event, now}: StepRequestOptions): RequestStep {
	if (state.stage === 'ended') {
		return {state, actions: []};
	}

	const transition = new RequestTransition(state, now);
	if ('attempt' in event) {
		handleAttemptEvent(transition, event);
	} else if (isExternalEvent(event)) {
		handleExternalEvent(transition, event);
	} else {
		handlePreparationEvent(transition, event);
	}

	return {state: transition.state, actions: transition.actions};
}

const externalEventTypes: ReadonlySet<string> = new Set<ExternalEvent['type']>([
	'timer', 'permission-lost', 'server-draining', 'caller-left', 'bill-settled', 'instance-stopping', 'answers-due',
]);

function isExternalEvent(event: PreparationEvent | ExternalEvent): event is ExternalEvent {
	return externalEventTypes.has(event.type);
}
