/** The closed list of what a log line can be about. */
export type DecisionKind
	= | 'process-started' | 'process-stopping' | 'process-stopped' | 'settings-reloaded' | 'settings-refused'
		| 'dependency-lost' | 'dependency-regained' | 'peer-message-failed'
		| 'configuration-adopted' | 'configuration-submitted' | 'configuration-refused' | 'lease-lost' | 'lease-regained'
		| 'leader-changed' | 'membership-changed' | 'storage-failed' | 'storage-opened'
		| 'server-joined' | 'server-draining' | 'server-gone' | 'server-silent' | 'server-suspected' | 'announcement-refused'
		| 'server-notice-missed' | 'server-record-outdated'
		| 'servers-restored' | 'list-not-restored' | 'list-not-saved'
		| 'rollout-started' | 'rollout-advanced'
		| 'request-refused' | 'request-dispatched' | 'request-attempt-ended' | 'request-escalated' | 'request-resumed' | 'request-ended'
		| 'request-suspected' | 'request-quarantined' | 'request-cleared';

/** What decided, with ages and versions, and the outcome. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>> & {
	// These stand in each line already, and one of the same name would hide them.
	readonly kind?: never;
	readonly name?: never;
	readonly instance?: never;
	readonly zone?: never;
};

/** How much a line matters; lines of `warn` are kept in preference. */
export type DecisionLevel = 'info' | 'warn' | 'error';

/**
Takes a line for each decision.

@example
```ts
log('request-refused', {request: 'a1', reason: 'no-server'}, 'warn');
```
*/
export type DecisionLog = (kind: DecisionKind, fields: DecisionFields, level?: DecisionLevel) => void;
