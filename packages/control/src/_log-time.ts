/** The time of the log in a snapshot. */
export type LogTimeData = {
	readonly elapsed: number;
	/** What the leader's clock said at the last reading, in milliseconds since 1970. */
	readonly readAt?: number | undefined;
};

/** Twice the interval between two readings of a leader. */
const mostMillisecondsBetweenReadings = 120_000;

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

	get elapsed(): number {
		return this.#elapsed;
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
