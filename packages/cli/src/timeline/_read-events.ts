import {compareTimestamps, type TimelineEvent} from '@valehitch/core';
import {isMatching, P} from 'ts-pattern';

const isEvent = isMatching({
	event: P.string, instance: P.string, zone: P.string, stamp: {wall: P.number, counter: P.number},
});
const isLogRecord = isMatching({timeline: P.nonNullable});

/** What a log file holds. */
export type ReadLog = {
	readonly events: readonly TimelineEvent[];
	/** Lines with an event that can't be read, such as the torn last line of a killed process. */
	readonly unreadable: number;
};

/** Reads the events of a log in bunyan's form, one record a line; other records are passed over. */
export function readLog(text: string): ReadLog {
	const events: TimelineEvent[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		if (!line.includes('"timeline"')) {
			continue;
		}

		const event = readLine(line);
		if (event === undefined) {
			unreadable++;
			continue;
		}

		events.push(event);
	}

	return {events, unreadable};
}

/** Gives a value as an event, or undefined where it is none. */
export function toEvent(value: unknown): TimelineEvent | undefined {
	return isEvent(value) ? value as TimelineEvent : undefined;
}

/** Puts events of several processes in one order: by time stamp, and by instance where two are equal; an event that came twice is kept once. */
export function mergeEvents(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
	const ordered = events.toSorted((left, right) => compareTimestamps(left.stamp, right.stamp) || left.instance.localeCompare(right.instance));
	return ordered.filter((event, index) => !isSame(event, ordered[index - 1]));
}

function isSame(left: TimelineEvent, right: TimelineEvent | undefined): boolean {
	return left.instance === right?.instance && compareTimestamps(left.stamp, right.stamp) === 0;
}

function readLine(line: string): TimelineEvent | undefined {
	try {
		const record: unknown = JSON.parse(line);
		return isLogRecord(record) ? toEvent(record.timeline) : undefined;
	} catch {
		return undefined;
	}
}
