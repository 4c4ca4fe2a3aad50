import {type TimelineEvent} from '@valehitch/core';

const subjectNames = ['requestId', 'changeId', 'workspace', 'model', 'version', 'server', 'revision', 'term'] as const;

/** Formats the subject of an event as NAME=VALUE pairs, followed by its details. */
export function formatSubject(event: TimelineEvent): string {
	const subject = subjectNames.map(name => [name, event[name]] as const);
	return [...subject, ...Object.entries(event.details ?? {})]
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}=${String(value)}`.replaceAll(/\p{Cc}/gv, '?'))
		.join(' ');
}

/** Formats the hybrid timestamp of an event: the wall clock in UTC, followed by the counter if it is above 0. */
export function formatTimestamp({stamp: {wall, counter}}: TimelineEvent): string {
	return `${new Date(wall).toISOString()}${counter === 0 ? '' : `+${counter}`}`;
}
