/**
Starts a daemon from its settings.

@module
*/
export * from './start-daemon.js';
