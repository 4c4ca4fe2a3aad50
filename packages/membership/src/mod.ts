/**
Membership of backend servers and daemons, failure detection, replication of member records by digests, and configuration leases.

@module
*/
export * from './configuration-relay.js';
export * from './digest.js';
export * from './digest-exchange.js';
export * from './failure-detector.js';
export * from './in-force-tracker.js';
export * from './load-record.js';
export * from './may-serve.js';
export * from './member-record.js';
export * from './parent-candidates.js';
export * from './server-record.js';
export * from './server-table.js';
export * from './zone-tree.js';
