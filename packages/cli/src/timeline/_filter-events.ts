import {type TimelineEvent} from '@valehitch/core';

/** Conditions on an event; a member that is undefined matches every event. */
export type EventFilter = {
	readonly request?: string | undefined;
	readonly change?: string | undefined;
	/** VERSION or MODEL@VERSION. */
	readonly version?: string | undefined;
	readonly server?: string | undefined;
	readonly zone?: string | undefined;
	/** The names of the events to keep. */
	readonly event?: readonly string[] | undefined;
};

/** Returns the events that match every member of the filter. */
export function filterEvents(events: readonly TimelineEvent[], filter: EventFilter): readonly TimelineEvent[] {
	return events.filter(event => matchesAny(filter.request, [event.requestId])
		&& matchesAny(filter.change, [event.changeId])
		&& matchesAny(filter.version, [event.version, `${event.model ?? ''}@${event.version ?? ''}`])
		&& matchesAny(filter.server, [event.server])
		&& matchesAny(filter.zone, [event.zone])
		&& (filter.event === undefined || filter.event.includes(event.event)));
}

function matchesAny(expected: string | undefined, found: ReadonlyArray<string | undefined>): boolean {
	return expected === undefined || found.includes(expected);
}
