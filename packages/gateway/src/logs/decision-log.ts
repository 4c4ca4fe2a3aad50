/** The kinds of log lines. */
export type DecisionKind
	= | 'process-started' | 'process-stopping' | 'process-stopped' | 'settings-reloaded' | 'settings-refused'
		| 'dependency-lost' | 'dependency-regained' | 'peer-message-failed' | 'pool-digest-lost' | 'pool-digest-regained'
		| 'configuration-adopted' | 'configuration-submitted' | 'configuration-refused' | 'lease-lost' | 'lease-regained' | 'reply-late' | 'state-outdated'
		| 'leader-changed' | 'membership-changed' | 'storage-failed' | 'storage-opened'
		| 'server-joined' | 'server-draining' | 'server-gone' | 'server-silent' | 'server-suspected' | 'announcement-refused'
		| 'server-notice-missed' | 'server-record-outdated' | 'server-limit-changed' | 'server-limit-invalid'
		| 'server-pause-requested' | 'server-pause-invalid'
		| 'server-brittleness-changed' | 'server-brittleness-invalid'
		| 'servers-unreachable' | 'servers-reachable' | 'relay-unavailable' | 'tunnel-refused'
		| 'servers-restored' | 'list-not-restored' | 'list-not-saved'
		| 'order-abandoned' | 'evacuation-ordered' | 'evacuation-adopted'
		| 'rollout-started' | 'rollout-advanced' | 'rollout-evaluation-failed'
		| 'request-held' | 'request-rejected'
		| 'request-refused' | 'request-dispatched' | 'request-overdue' | 'request-attempt-ended' | 'request-escalated'
		| 'request-paused' | 'request-resumed' | 'request-returned' | 'request-handed-over' | 'answer-not-held'
		| 'request-ended' | 'requests-cut-off'
		| 'request-suspected' | 'request-quarantined' | 'prompt-part-quarantined' | 'request-cleared';

/** The inputs of a decision, such as ages and versions, and its outcome. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>> & {
	// Every line already has these fields, and a field of the same name would overwrite them.
	readonly kind?: never;
	readonly name?: never;
	readonly instance?: never;
	readonly zone?: never;
};

/** The severity of a line; `warn` and `error` have a higher rate limit than `info`. */
export type DecisionLevel = 'info' | 'warn' | 'error';

/**
Logs a decision.

@example
```ts
log('request-refused', {request: 'a1', reason: 'no-server'}, 'warn');
```
*/
export type DecisionLog = (kind: DecisionKind, fields: DecisionFields, level?: DecisionLevel) => void;
