import {clockReadingMilliseconds} from './clock-reading.js';

/** The time of the log in a snapshot. */
export type LogTimeData = {
	readonly elapsed: number;
	/** What the leader's clock said at the last reading, in milliseconds since 1970. */
	readonly readAt?: number | undefined;
};

/** Room for a change of the leader. */
const mostMillisecondsBetweenReadings = 2 * clockReadingMilliseconds;

/**
The time that has passed in the log, in milliseconds, from the readings of its leaders' clocks.

A reading moves it on by a bounded step and never back: a leader whose time of day is wrong by a month must not make everything a month old. While no leader reads its clock the time stands still.
*/
export class LogTime {
	#elapsed: number;
	#readAt: number | undefined;

	constructor(data?: LogTimeData) {
		this.#elapsed = data?.elapsed ?? 0;
		this.#readAt = data?.readAt;
	}

	/** The time at the last reading: no more than has passed. */
	get elapsed(): number {
		return this.#elapsed;
	}

	/** The time at the next reading: no less than has passed. What is kept for a least time counts from here. */
	get latest(): number {
		return this.#elapsed + clockReadingMilliseconds;
	}

	/** Takes a reading of the leader's clock, in milliseconds since 1970. */
	advance(readAt: number): void {
		const step = readAt - (this.#readAt ?? readAt);
		this.#elapsed += Math.min(Math.max(0, step), mostMillisecondsBetweenReadings);
		this.#readAt = readAt;
	}

	toData(): LogTimeData {
		return {elapsed: this.#elapsed, readAt: this.#readAt};
	}
}
