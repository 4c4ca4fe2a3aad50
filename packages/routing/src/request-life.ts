import {type RequestAction} from './request-action.js';
import {type RequestEvent} from './request-event.js';
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

/** Contract: begins the life of a request. */
export type StartRequest = (plan: RequestPlan) => RequestStep;

/** Contract: takes one event. */
export type StepRequest = (state: RequestState, options: StepRequestOptions) => RequestStep;
