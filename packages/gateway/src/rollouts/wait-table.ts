/**
How long sends waited for their answers to begin, as a life table. The counts only increase, and those of several instances can be added up.

A send that is no longer or not yet answered counts in the intervals that it has waited through, so that its wait is evidence without its answer.
*/
export type WaitTable = {
	/** For each interval, the number of sends that have waited through it or were answered in it. */
	readonly exposed: readonly number[];
	/** For each interval, the number of sends that were answered in it. */
	readonly answered: readonly number[];
};

/** The intervals of a send that are counted. */
export type RecordedWait = {
	/** The first one that is not counted yet. */
	readonly first: number;
	/** The one in which the wait ends, or which it has reached. */
	readonly end: number;
	/** Whether the answer has begun in the last one. */
	readonly isAnswered: boolean;
};

/** The number of intervals; the last one begins after 46 s. */
const intervalCount = 26;
/** The end of the first interval, in milliseconds. */
const firstMilliseconds = 8;
/** The ratio of the ends of one interval and of the one before. */
export const waitIntervalGrowth = Math.SQRT2;

/** The table of no sends. */
export const emptyWaitTable: WaitTable = {exposed: Array.from({length: intervalCount}, () => 0), answered: Array.from({length: intervalCount}, () => 0)};

/**
Returns the interval that a wait has reached.

@param milliseconds The time since the send.
@returns The index of the interval.
@example
```ts
waitIntervalOf(100);
```
*/
export function waitIntervalOf(milliseconds: number): number {
	const interval = Math.ceil(Math.log(Math.max(1, milliseconds / firstMilliseconds)) / Math.log(waitIntervalGrowth));
	return Math.min(intervalCount - 1, interval);
}

/**
Counts a wait, or a further part of it.

@param table The table.
@param wait The intervals.
@returns The table with the wait.
@example
```ts
recordWait(emptyWaitTable, {first: 0, end: waitIntervalOf(100), isAnswered: true});
```
*/
export function recordWait({exposed, answered}: WaitTable, {first, end, isAnswered}: RecordedWait): WaitTable {
	return {
		exposed: exposed.map((count, interval) => interval >= first && (interval < end || (isAnswered && interval === end)) ? count + 1 : count),
		answered: isAnswered ? answered.map((count, interval) => interval === end ? count + 1 : count) : answered,
	};
}

/**
Adds up two tables.

@param one A table.
@param other Another one.
@returns The table of all sends.
@example
```ts
addWaits(one, other);
```
*/
export function addWaits(one: WaitTable, other: WaitTable): WaitTable {
	return {
		exposed: one.exposed.map((count, interval) => count + (other.exposed[interval] ?? 0)),
		answered: one.answered.map((count, interval) => count + (other.answered[interval] ?? 0)),
	};
}
