import {RequestChange} from './_request-change.js';
import {takeAttemptEvent} from './_take-attempt-event.js';
import {takePreparation} from './_take-preparation.js';
import {takeSurroundings} from './_take-surroundings.js';
import {type RequestAction} from './request-action.js';
import {type PreparationEvent, type RequestEvent, type SurroundingsEvent} from './request-event.js';
import {type RequestPlan} from './request-plan.js';
import {type RequestState} from './request-state.js';

/** A state and what is to be done, in this order. */
export type RequestStep = {
	readonly state: RequestState;
	readonly actions: readonly RequestAction[];
};

/** What happened, and when. */
export type StepRequestOptions = {
	readonly event: RequestEvent;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/**
Begins the life of a request.

@param plan What is settled about the request.
@returns The first state, and the actions that ask for admission and set the deadline.
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
			nextAttempt: 1,
			denials: 0,
			draining: [],
			tried: [],
			freshConnection: false,
			leader: undefined,
			delivered: 0,
			lost: [],
			hedged: false,
			comingBack: false,
			unreachable: 0,
			reportedFailure: false,
			stopping: false,
			callerLeft: false,
		},
		actions: [
			{type: 'set-timer', timer: 'deadline', at: plan.deadline},
			{type: 'request-admission'},
		],
	};
}

/**
Takes one event in the life of a request; after the end, events change nothing.

@param state The state before.
@param options The event and the time.
@returns The state after and the actions to carry out, in their order.
@example
```ts
const {state, actions} = stepRequest(before, {event: {type: 'admitted'}, now: clock.monotonic()});
```
*/
export function stepRequest(state: RequestState, {event, now}: StepRequestOptions): RequestStep {
	if (state.stage === 'ended') {
		return {state, actions: []};
	}

	const change = new RequestChange(state, now);
	if ('attempt' in event) {
		takeAttemptEvent(change, event);
	} else if (isSurroundings(event)) {
		takeSurroundings(change, event);
	} else {
		takePreparation(change, event);
	}

	return {state: change.state, actions: change.actions};
}

const surroundingTypes: ReadonlySet<string> = new Set<SurroundingsEvent['type']>([
	'timer', 'permission-lost', 'server-draining', 'caller-left', 'bill-settled', 'instance-stopping',
]);

function isSurroundings(event: PreparationEvent | SurroundingsEvent): event is SurroundingsEvent {
	return surroundingTypes.has(event.type);
}
