/**
The adapter to the users' platform. It translates the platform's settings, HTTP API and headers to the types of the gateway, and contains no routing logic.

@module
*/
export * from './decode-announcement.js';
export * from './decode-configuration.js';
export * from './platform-dialect.js';
export * from './platform-settings.js';
export * from './start-process.js';
