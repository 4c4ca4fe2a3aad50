import {isPromptPart} from './prompt-part-fingerprint.js';
import {type SuspectRecord} from './suspect-record.js';

/** How long an exit counts fully: ten minutes, after which the request may be sent once more, which reveals a wrong verdict. */
export const fullWeightMilliseconds = 600_000;
/** How long an exit counts at all: an hour, within which one more exit is enough for another quarantine. */
export const retentionMilliseconds = 3_600_000;
/** How long an exit does not count against a part yet, in milliseconds, so that what other instances found about it has arrived. */
export const settlingMilliseconds = 150;

/** The processes that exited during a request or a part of prompts, and when, in milliseconds since the epoch and in this order. */
export type ExitTimes = ReadonlyMap<string, number>;

/** What a record says at a time. */
export type SuspectSubject = {
	readonly record: SuspectRecord;
	readonly isPart: boolean;
	/** The uncleared exits that still count. */
	readonly exits: ExitTimes;
	/** The time from which on this holds, in milliseconds since the epoch. */
	readonly validFrom: number;
	/** The time from which on one of the exits counts differently, in milliseconds since the epoch. */
	readonly validUntil: number;
};

/**
Works out what a record says at a time, which stays the same until one of its exits ages.

@param record The record.
@param now Milliseconds since the epoch.
@returns The exits that count, and how long.
@example
```ts
suspectSubject({fingerprint, ends: [{process: 'a', at: 0, isCleared: false}]}, 0).exits.size; // 1
```
*/
export function suspectSubject(record: SuspectRecord, now: number): SuspectSubject {
	const isPart = isPromptPart(record.fingerprint);
	const exits = new Map<string, number>();
	let validUntil = Number.POSITIVE_INFINITY;
	for (const {process, at, isCleared} of record.ends) {
		if (!isCleared && now - at < retentionMilliseconds) {
			exits.set(process, at);
			validUntil = Math.min(validUntil, nextChangeOf(at, {isPart, now}));
		}
	}

	return {
		record, isPart, exits, validFrom: now, validUntil,
	};
}

/** Returns the next time at which an exit counts differently. */
function nextChangeOf(at: number, {isPart, now}: {readonly isPart: boolean; readonly now: number}): number {
	if (isPart && now < at + settlingMilliseconds) {
		return at + settlingMilliseconds;
	}

	return now < at + fullWeightMilliseconds ? at + fullWeightMilliseconds : at + retentionMilliseconds;
}
