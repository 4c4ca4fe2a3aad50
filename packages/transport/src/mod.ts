/**
WebSocket links between daemons, and HTTP for callers, operators and backend servers.

@module
*/
export * from './abort-response.js';
export * from './allows-response-body.js';
export * from './arrival-watch.js';
export * from './caller-signal.js';
export * from './cancel-request.js';
export * from './close-idle-after-poll.js';
export * from './connection-turns.js';
export * from './discard-response.js';
export * from './frame-request.js';
export * from './has-transfer-coding.js';
export * from './http-server.js';
export * from './ignore-upgrades.js';
export * from './inactivity-timer.js';
export * from './limit-received.js';
export * from './limit-unread-body.js';
export * from './next-poll.js';
export * from './set-interval-after-poll.js';
export * from './open-tunnel.js';
export * from './parse-address.js';
export * from './parse-json-body.js';
export * from './peer-network.js';
export * from './probe-address.js';
export * from './problem-details.js';
export * from './read-body.js';
export * from './read-pending-input.js';
export * from './read-response-body.js';
export * from './refuse-tunnels.js';
export * from './response-framing.js';
export * from './relay.js';
export * from './responses-in-progress.js';
export * from './send-http-request.js';
export * from './send-once-open.js';
export * from './server-relays.js';
export * from './set-timeout-after-poll.js';
export * from './tunnel-agent.js';
export * from './tunnel-server.js';
export type {TunnelTarget} from './tunnel-target.js';
export * from './unfinished-responses.js';
export * from './watch-head.js';
export * from './watch-response-end.js';
export * from './when-caller-leaves.js';
export * from './when-response-closes.js';
