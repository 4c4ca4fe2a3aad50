/**
A replicated log without I/O: a step is a function of state, event and time, and returns the actions for the host.

@module
*/
export type {StepResult} from './_draft.js';
export * from './confirm-contact.js';
export * from './create-replica.js';
export * from './is-leader.js';
export * from './known-leader.js';
export * from './lease-valid-until.js';
export type * from './log-entry.js';
export * from './plan-membership.js';
export * from './plan-replacement.js';
export * from './read-index.js';
export type * from './replica-action.js';
export type * from './replica-event.js';
export * from './replica-id.js';
export type * from './replica-message.js';
export * from './replica-options.js';
export type * from './replica-state.js';
export * from './step.js';
