/**
Request routing: admission control, server selection, retries, hedged requests, sessions and responses to the caller.

@module
*/
export type * from './admission-request.js';
export * from './admission-controller.js';
export * from './choose-affinity-scope.js';
export * from './choose-permits.js';
export * from './decision-history.js';
export * from './divide-rate-limit.js';
export * from './fingerprint-request.js';
export * from './hedge-policy.js';
export * from './leased-rate-limiter.js';
export * from './may-relay.js';
export * from './outlier-ejection.js';
export * from './place-share.js';
export type * from './pool-picture.js';
export * from './predict-first-event.js';
export * from './prefix-frequencies.js';
export * from './prompt-part-fingerprint.js';
export * from './rate-lease-book.js';
export * from './rate-lease-terms.js';
export * from './rate-limit-share.js';
export * from './rejection-pause.js';
export * from './relay-ring.js';
export * from './relay-selector.js';
export * from './rendezvous-score.js';
export type * from './request-action.js';
export type * from './request-event.js';
export * from './request-path.js';
export * from './request-state-machine.js';
export type * from './request-plan.js';
export type * from './request-state.js';
export * from './repeat-rate.js';
export * from './requested-pauses.js';
export * from './retry-budget.js';
export * from './windowed-retry-budget.js';
export * from './server-choice.js';
export * from './server-link-detector.js';
export * from './server-links.js';
export * from './server-load.js';
export * from './service-links.js';
export * from './server-speed-estimator.js';
export type * from './server-view.js';
export * from './session-token.js';
export * from './stage-history.js';
export * from './suspect-registry.js';
export type * from './suspect-record.js';
export * from './zone-failure-detector.js';
