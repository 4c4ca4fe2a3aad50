/**
The replicated state of the control instances and the commands that change it.

@module
*/
export type * from './claim.js';
export * from './clock-read-interval.js';
export type * from './command.js';
export type * from './command-response.js';
export type * from './configuration-change.js';
export * from './control-limits.js';
export * from './control-state.js';
export * from './engine-state.js';
export type * from './ids.js';
export type * from './ledger-page.js';
export type * from './order.js';
export * from './order-delivery.js';
export * from './rollout-step.js';
