/**
Starts a daemon from its settings.

@module
*/
export * from './wire.js';
