import {type TimelineEvent} from '@valehitch/core';

const subjectNames = ['requestId', 'changeId', 'workspace', 'model', 'version', 'server', 'revision', 'term'] as const;

/** Writes what an event is about as NAME=VALUE, the details last. */
export function describeSubject(event: TimelineEvent): string {
	const subject = subjectNames.map(name => [name, event[name]] as const);
	return [...subject, ...Object.entries(event.details ?? {})]
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}=${String(value)}`.replaceAll(/\p{Cc}/gv, '?'))
		.join(' ');
}

/** Writes the time of an event: the wall clock in UTC, and the counter where it is above 0. */
export function describeTime({stamp: {wall, counter}}: TimelineEvent): string {
	return `${new Date(wall).toISOString()}${counter === 0 ? '' : `+${counter}`}`;
}
