/**
Policy programs, selection of a model and version for a request, quality estimation, and statistical tests for bad versions.

@module
*/
export type * from './bad-version-evidence.js';
export * from './bad-version-monitor.js';
export * from './bad-version-settings.js';
export * from './change-detector.js';
export type * from './version-choice.js';
export * from './choose-version.js';
export * from './compile-condition.js';
export * from './compile-policy.js';
export * from './decayed-sums.js';
export * from './escalation-sign.js';
export * from './evidence-aggregator.js';
export * from './exposure.js';
export * from './local-stops.js';
export * from './check-dispatch.js';
export * from './quality-store.js';
export * from './quality-class.js';
export type * from './quality-digest.js';
export * from './quality-estimate.js';
export type * from './version-target.js';
