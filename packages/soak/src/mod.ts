/**
A randomized soak: the real programs as separate processes, faults from outside, and judgement by what callers, backend servers and operators see; never shipped.

@module
*/
export * from './find-broken-promises.js';
export type {Fault, FaultKind} from './plan-faults.js';
export * from './run-soak.js';
export type * from './soak-record.js';
