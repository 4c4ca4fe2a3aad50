import {type ServerId} from '@valehitch/core';

/** Times to the first event of an answer, in milliseconds. */
export type ResponseTimes = {
	/** The time that was observed. */
	readonly observed: number;
	/** The time that was expected of a server of mean speed. */
	readonly expected: number;
};

type DecayingTimes = ResponseTimes & {
	/** When the sums were last updated, in milliseconds on the monotonic clock. */
	readonly at: number;
};

/** The half-life of an observed time, in milliseconds: a few answers of a busy server. */
const halfLifeMilliseconds = 2000;
/** The expected time below which sums are forgotten, in milliseconds. */
const minimumExpected = 1;

/**
Adds up the observed and expected times of each server, recent ones most.

The sums are a state rather than a count of events, so that those of several instances can be added whichever of their reports arrive.

@example
```ts
const times = new RecentTimes();
times.record(server, {observed: 480, expected: 240}, now);
times.at(server, now); // {observed: 480, expected: 240}
```
*/
export class RecentTimes {
	readonly #times = new Map<ServerId, DecayingTimes>();

	/**
	Records the time of an answer; times that are not positive numbers are left out.

	@param server The server.
	@param times The observed and the expected time.
	@param now Milliseconds on the monotonic clock.
	*/
	record(server: ServerId, {observed, expected}: ResponseTimes, now: number): void {
		if (!(observed >= 0 && expected > 0 && Number.isFinite(observed + expected))) {
			return;
		}

		const known = this.at(server, now);
		this.#times.set(server, {observed: known.observed + observed, expected: known.expected + expected, at: now});
	}

	/**
	Returns the sums of a server.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns The sums, both 0 if nothing is known.
	*/
	at(server: ServerId, now: number): ResponseTimes {
		const known = this.#times.get(server);
		if (known === undefined) {
			return {observed: 0, expected: 0};
		}

		const weight = 2 ** ((known.at - now) / halfLifeMilliseconds);
		return {observed: weight * known.observed, expected: weight * known.expected};
	}

	/**
	Returns the servers with times that still count, and forgets the others.

	@param now Milliseconds on the monotonic clock.
	@returns The servers.
	*/
	servers(now: number): readonly ServerId[] {
		for (const server of this.#times.keys()) {
			if (this.at(server, now).expected < minimumExpected) {
				this.#times.delete(server);
			}
		}

		return [...this.#times.keys()];
	}

	/**
	Forgets a server whose process has ended.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#times.delete(server);
	}
}
