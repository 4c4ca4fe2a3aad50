/**
A replicated log without input or output: a step is a function of state, event and time, and gives what the host must do.

@module
*/
export type * from './log-entry.js';
export type * from './replica-action.js';
export type * from './replica-event.js';
export * from './replica-id.js';
export type * from './replica-message.js';
