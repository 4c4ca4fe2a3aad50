/**
WebSocket links between daemons, and HTTP for callers, operators and backend servers.

@module
*/
export * from './http-server.js';
export * from './interval-after-input.js';
export * from './parse-json-body.js';
export * from './peer-network.js';
export * from './problem.js';
export * from './read-body.js';
export * from './send-http.js';
export * from './timeout-after-input.js';
