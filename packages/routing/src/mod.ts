/**
The life of a request: admission, server choice, retries, hedges, sessions and what the caller is told.

@module
*/
export type * from './request-action.js';
export type * from './request-event.js';
export * from './request-life.js';
export type * from './request-plan.js';
export type * from './request-state.js';
export * from './session-token.js';
