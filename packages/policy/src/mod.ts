/**
Policy programs and the choice of a model and version for a request.

@module
*/
export * from './choose-version.js';
export * from './compile-condition.js';
export * from './compile-policy.js';
