import {type TimelineEvent} from '@valehitch/core';

/** What an event must be about; a member that is undefined lets all through. */
export type EventFilter = {
	readonly request?: string | undefined;
	readonly change?: string | undefined;
	/** A version, or MODEL@VERSION. */
	readonly version?: string | undefined;
	readonly server?: string | undefined;
	readonly zone?: string | undefined;
	/** Names of events. */
	readonly event?: readonly string[] | undefined;
};

/** Keeps the events that pass every given member of the filter. */
export function filterEvents(events: readonly TimelineEvent[], filter: EventFilter): readonly TimelineEvent[] {
	return events.filter(event => passes(filter.request, [event.requestId])
		&& passes(filter.change, [event.changeId])
		&& passes(filter.version, [event.version, `${event.model ?? ''}@${event.version ?? ''}`])
		&& passes(filter.server, [event.server])
		&& passes(filter.zone, [event.zone])
		&& (filter.event === undefined || filter.event.includes(event.event)));
}

function passes(wanted: string | undefined, found: ReadonlyArray<string | undefined>): boolean {
	return wanted === undefined || found.includes(wanted);
}
