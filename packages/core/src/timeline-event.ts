import {type HybridTimestamp} from './hybrid-clock.js';
import {type InstanceId, type ZoneId} from './ids.js';

/** All event names of the timeline. */
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

/** The name of a timeline event. */
export type TimelineEventName = typeof timelineEventNames[number];

/** The subject of an event, by which events can be filtered. */
export type TimelineSubject = {
	readonly requestId?: string;
	readonly changeId?: string;
	readonly workspace?: string;
	readonly model?: string;
	readonly version?: string;
	readonly server?: string;
	readonly revision?: number;
	readonly term?: number;
	/** Additional properties as primitive values. */
	readonly details?: Readonly<Record<string, string | number | boolean | undefined>>;
};

/** An event on the timeline across all processes. */
export type TimelineEvent = TimelineSubject & {
	readonly event: TimelineEventName;
	readonly stamp: HybridTimestamp;
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};
