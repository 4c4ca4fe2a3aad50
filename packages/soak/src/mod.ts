/**
A randomized soak test: runs the real programs as separate processes, injects faults from outside, and checks the guarantees against what callers, backend servers and operators observe. Not published.

@module
*/
export * from './find-violations.js';
export type {Fault, FaultKind} from './plan-faults.js';
export * from './run-soak.js';
export type * from './soak-record.js';
