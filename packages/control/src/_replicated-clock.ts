import {clockReadIntervalMilliseconds} from './clock-read-interval.js';

/** The snapshot form of `ReplicatedClock`. */
export type ReplicatedClockData = {
	readonly elapsed: number;
	/** The last reading of a leader's clock, as Unix time in milliseconds. */
	readonly readAt?: number | undefined;
};

/** Two intervals, to allow for a change of leader between readings. */
const maximumAdvanceMilliseconds = 2 * clockReadIntervalMilliseconds;

/**
A monotonic clock that is part of the replicated state, in milliseconds, advanced by the leaders' clock readings in the log.

Each reading advances it by a limited amount and never backwards: a leader whose wall clock is ahead by a month must not make all records a month older. The clock stands still while no leader records readings.
*/
export class ReplicatedClock {
	#elapsed: number;
	#readAt: number | undefined;

	constructor(data?: ReplicatedClockData) {
		this.#elapsed = data?.elapsed ?? 0;
		this.#readAt = data?.readAt;
	}

	/** The time at the last reading: a lower bound of the current time. */
	get elapsed(): number {
		return this.#elapsed;
	}

	/** The time at the next reading: an upper bound of the current time. Minimum retention times are counted from this value. */
	get upperBound(): number {
		return this.#elapsed + clockReadIntervalMilliseconds;
	}

	/** Advances by a reading of the leader's clock, as Unix time in milliseconds. */
	advance(readAt: number): void {
		const step = readAt - (this.#readAt ?? readAt);
		this.#elapsed += Math.min(Math.max(0, step), maximumAdvanceMilliseconds);
		this.#readAt = readAt;
	}

	toData(): ReplicatedClockData {
		return {elapsed: this.#elapsed, readAt: this.#readAt};
	}
}
