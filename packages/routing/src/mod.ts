/**
The life of a request: admission, server choice, retries, hedges, sessions and what the caller is told.

@module
*/
export * from './session-token.js';
