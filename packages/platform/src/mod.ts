/**
The adapter to the users' platform: its settings, calls and headers in, the gateway's types out; it decides nothing.

@module
*/
export * from './decode-announcement.js';
export * from './decode-configuration.js';
export * from './platform-dialect.js';
export * from './platform-settings.js';
export * from './wire-process.js';
