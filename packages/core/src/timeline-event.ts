import {type HybridTimestamp} from './hybrid-clock.js';
import {type InstanceId, type ZoneId} from './ids.js';

/** The closed list of event names on the time line. */
export const timelineEventNames = [
	'instance-started',
	'instance-stopping',
	'instance-stopped',
	'configuration-committed',
	'configuration-in-force',
	'configuration-lease-lost',
	'configuration-lease-renewed',
	'leader-elected',
	'leader-lease-lost',
	'replica-added',
	'replica-removed',
	'server-joined',
	'server-draining',
	'server-lost',
	'server-ejected',
	'rollout-advanced',
	'version-stopped',
	'version-withdrawn',
	'request-received',
	'request-dispatched',
	'request-answered',
	'request-refused',
	'request-cancelled',
	'claim-taken',
	'claim-settled',
	'bill-opened',
	'bill-settled',
	'bill-recovered',
	'order-sent',
	'order-answered',
] as const;

/** The name of an event on the time line. */
export type TimelineEventName = typeof timelineEventNames[number];

/** What an event is about; filters work on these. */
export type TimelineSubject = {
	readonly requestId?: string;
	readonly changeId?: string;
	readonly workspace?: string;
	readonly model?: string;
	readonly version?: string;
	readonly server?: string;
	readonly revision?: number;
	readonly term?: number;
	/** Further facts in plain values. */
	readonly details?: Readonly<Record<string, string | number | boolean | undefined>>;
};

/** One event on the time line over all processes. */
export type TimelineEvent = TimelineSubject & {
	readonly event: TimelineEventName;
	readonly stamp: HybridTimestamp;
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};
