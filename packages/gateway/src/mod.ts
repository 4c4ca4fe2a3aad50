/**
A gateway: entry instances, which forward requests to backend servers, and control instances, which store the state by which requests are routed.

@module
*/
export * from './configuration/check-routing-configuration.js';
export type * from './configuration/routing-configuration.js';
export * from './configuration/route-table.js';
export * from './control/control-instance.js';
export type * from './control/cold-limits.js';
export type * from './control/control-instance-options.js';
export type {EvacuationOrder} from './control/operator-api.js';
export * from './control/select-load-sharing-peers.js';
export type * from './control/peer-message.js';
export * from './control/suspect-record-schema.js';
export * from './entry/choose-next-model.js';
export * from './entry/configuration-lease.js';
export type * from './entry/dialect.js';
export * from './entry/entry-instance.js';
export type * from './entry/entry-instance-options.js';
export * from './entry/entry-servers.js';
export type * from './entry/entry-context.js';
export type * from './entry/gateway-request.js';
export type * from './entry/tracked-server.js';
export * from './entry/latency-estimator.js';
export * from './entry/pool-loads.js';
export * from './entry/repeat-tracker.js';
export * from './inspection/inspection-handler.js';
export type {ProfileSummary, TimeShare} from './inspection/sum-profile.js';
export * from './logs/bounded-output.js';
export * from './logs/create-decision-log.js';
export type * from './logs/decision-log.js';
export * from './logs/gateway-metrics.js';
export * from './rollouts/rollout.js';
export * from './servers/saved-list.js';
export * from './servers/server-record-schema.js';
export type * from './servers/server-record.js';
