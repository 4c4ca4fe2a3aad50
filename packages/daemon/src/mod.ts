/**
The daemon: settings in, a running instance out.

@module
*/
export * from './wire.js';
