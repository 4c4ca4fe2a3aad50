import {type Clock} from '@valehitch/core';

/** The weight of the newest time in the mean. */
const weight = 0.15;
/** The weight with which the calm time follows the mean up: some thousand answers, so that a burst of some seconds does not pass for calm. */
const calmWeight = 0.001;
/** After this time without an answer half of what the mean is above the calm time is forgotten, in milliseconds: queues of servers empty within seconds, and what is not used because it was slow would never be seen to be fast again. */
const halfLifeMilliseconds = 2000;

/** The part of a time that does not grow with the prompt, as tokens: the wait for the step in progress and for the first token. */
const fixedTokens = 1000;

/** A time that was measured. */
export type MeasuredTime = {
	/** Milliseconds to the first byte. */
	readonly milliseconds: number;
	/** The tokens of the prompt; 0 where there is none. */
	readonly tokens: number;
};

/** The time that is asked for. */
export type ExpectedTimeOptions = {
	/** The tokens of the prompt, 0 where there is none; those of the mean prompt by default. */
	readonly tokens?: number;
	/** The time where none was seen, in milliseconds. */
	readonly fallback: number;
};

type Times = {
	/** Milliseconds, for a prompt of the mean size. */
	readonly mean: number;
	/** The lowest mean of late, in milliseconds. */
	readonly calm: number;
	/** The mean size of the prompts, in tokens with the fixed part. */
	readonly size: number;
	/** When the mean was brought up to date, in milliseconds on the monotonic clock. */
	readonly at: number;
};

/**
Mean times to the first byte, by what they depend on, in proportion to the prompt; without answers they fade to the calm times.

Prompts of one route differ a hundredfold, and a server reads the longest for seconds: by the mean alone, servers that are at work would be given up as silent.

@example
```ts
const book = new LatencyBook(clock);
book.note('route-1 large', {milliseconds: 640, tokens: 2000});
book.expected('route-1 large', {tokens: 5000, fallback: 500});
```
*/
export class LatencyBook {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #times = new Map<string, Times>();

	/**
	@param clock The clock.
	*/
	constructor(clock: Pick<Clock, 'monotonic'>) {
		this.#clock = clock;
	}

	/**
	Takes a time.

	@param key What it depends on.
	@param time The time, and the size of the prompt.
	*/
	note(key: string, {milliseconds, tokens}: MeasuredTime): void {
		const at = this.#clock.monotonic();
		const before = this.#timesOf(key) ?? {
			mean: milliseconds, calm: milliseconds, size: fixedTokens + tokens, at,
		};
		const mean = before.mean + (weight * (milliseconds - before.mean));
		const size = before.size + (weight * (fixedTokens + tokens - before.size));
		this.#times.set(key, {
			mean, calm: Math.min(mean, before.calm + (calmWeight * (mean - before.calm))), size, at,
		});
	}

	/**
	The time that a prompt of some size takes on the mean.

	@param key What it depends on.
	@param options The size, and the time where none was seen.
	@returns Milliseconds.
	*/
	expected(key: string, {tokens, fallback}: ExpectedTimeOptions): number {
		const times = this.#timesOf(key);
		if (times === undefined) {
			return fallback;
		}

		return tokens === undefined ? times.mean : times.mean * (fixedTokens + tokens) / times.size;
	}

	/** The times as they have faded until now. */
	#timesOf(key: string): Times | undefined {
		const times = this.#times.get(key);
		if (times === undefined) {
			return undefined;
		}

		const now = this.#clock.monotonic();
		const left = 2 ** ((times.at - now) / halfLifeMilliseconds);
		return {...times, mean: times.calm + (left * (times.mean - times.calm)), at: now};
	}
}
