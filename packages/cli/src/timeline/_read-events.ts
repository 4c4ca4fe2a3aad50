import {compareTimestamps, type TimelineEvent} from '@valehitch/core';
import {isMatching, P} from 'ts-pattern';

const isEvent = isMatching({
	event: P.string, instance: P.string, zone: P.string, stamp: {wall: P.number, counter: P.number},
});
const isLogRecord = isMatching({timeline: P.nonNullable});

/** The timeline events of a log. */
export type ParsedLog = {
	readonly events: readonly TimelineEvent[];
	/** The number of lines with an event that can't be parsed, such as the truncated last line of a killed process. */
	readonly unreadable: number;
};

/** Parses the timeline events of a bunyan log, with one record per line; other records are skipped. */
export function parseLog(text: string): ParsedLog {
	const events: TimelineEvent[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		if (!line.includes('"timeline"')) {
			continue;
		}

		const event = parseLine(line);
		if (event === undefined) {
			unreadable++;
			continue;
		}

		events.push(event);
	}

	return {events, unreadable};
}

/** Returns a value as an event, or undefined if it isn't one. */
export function toEvent(value: unknown): TimelineEvent | undefined {
	return isEvent(value) ? value as TimelineEvent : undefined;
}

/** Merges the events of several processes in the order of their hybrid timestamps, and of their instances where two timestamps are equal. Duplicates are removed. */
export function mergeEvents(events: readonly TimelineEvent[]): readonly TimelineEvent[] {
	const ordered = events.toSorted((left, right) => compareTimestamps(left.stamp, right.stamp) || left.instance.localeCompare(right.instance));
	return ordered.filter((event, index) => !isDuplicate(event, ordered[index - 1]));
}

function isDuplicate(left: TimelineEvent, right: TimelineEvent | undefined): boolean {
	return left.instance === right?.instance && compareTimestamps(left.stamp, right.stamp) === 0;
}

function parseLine(line: string): TimelineEvent | undefined {
	try {
		const record: unknown = JSON.parse(line);
		return isLogRecord(record) ? toEvent(record.timeline) : undefined;
	} catch {
		return undefined;
	}
}
