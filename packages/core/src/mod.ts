/**
Ids, error kinds, clocks, money, and the record types that the other packages share.

@module
*/
export * from './announcement.js';
export type * from './bill.js';
export type * from './brand.js';
export type * from './clock.js';
export * from './configuration.js';
export * from './error-kinds.js';
export * from './failure.js';
export * from './hybrid-clock.js';
export * from './ids.js';
export * from './money.js';
export * from './lru-map.js';
export type * from './request.js';
export * from './stopwatch.js';
export * from './timeline-event.js';
export * from './suspension-detector.js';
export * from './typed-schema.js';
