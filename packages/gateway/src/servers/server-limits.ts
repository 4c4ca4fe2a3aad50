import {type ServerId} from '@valehitch/core';
import {compareStartTimes} from './compare-start-times.js';
import {type ServerRecord} from './server-record.js';

/** A process of a backend server. */
export type ServerProcess = Pick<ServerRecord, 'id' | 'startedAt'>;

/** What is known of the rate limit of one process of a backend server. */
export type ServerLimit = {
	readonly server: ServerId;
	/** When its process started, in milliseconds since the epoch on its own clock; absent if the server does not report it. */
	readonly startedAt?: number | undefined;
	/** The requests per second that it takes from all instances together; absent if its limit has ended. */
	readonly requestsPerSecond?: number | undefined;
	/** When an answer last said so, in milliseconds on the monotonic clock. */
	readonly observedAt: number;
};

/** A limit as it is sent to other instances, whose clocks differ. */
export type SentServerLimit = Omit<ServerLimit, 'observedAt'> & {
	/** The time since an answer last said so, in milliseconds. */
	readonly age: number;
};

/** How long a limit holds after the last answer that named it, in milliseconds; a server with a very low limit answers this seldom. */
const limitMilliseconds = 120_000;
/** The factor between two numbers up to which the change is reported only with the next poll. */
const minorChangeFactor = 1.25;
/** How long the end of a limit is remembered, in milliseconds; longer than another instance takes to report that the limit was still named. */
const endMilliseconds = 10_000;

/**
The rate limits that backend servers name in their answers, as heard by this instance and reported by others. The latest observation of a process holds.

@example
```ts
const limits = new ServerLimits();
limits.apply({server, requestsPerSecond: 1.7, observedAt: now});
limits.of({id: server}, now)?.requestsPerSecond; // 1.7
```
*/
export class ServerLimits {
	readonly #limits = new Map<ServerId, ServerLimit>();

	/**
	Applies an observation unless a later one is known.

	@param observed The observation.
	@returns Whether the limit began, ended, or changed by more than a quarter, so that other instances should hear of it at once.
	*/
	apply(observed: ServerLimit): boolean {
		const known = this.#limits.get(observed.server);
		if (known === undefined) {
			this.#limits.set(observed.server, observed);
			return isNews(observed.requestsPerSecond, undefined);
		}

		const process = compareStartTimes(observed, known);
		if (process < 0 || (process === 0 && observed.observedAt < known.observedAt)) {
			return false;
		}

		this.#limits.set(observed.server, observed);
		return isNews(observed.requestsPerSecond, known.requestsPerSecond);
	}

	/**
	Applies observations of another instance.

	@param limits The observations.
	@param now Milliseconds on the monotonic clock.
	@returns The limits that began, ended, or changed by more than a quarter.
	*/
	merge(limits: readonly SentServerLimit[], now: number): readonly ServerLimit[] {
		this.#removeExpired(now);
		const changed: ServerLimit[] = [];
		for (const {age, ...limit} of limits) {
			const observed = {...limit, observedAt: now - age};
			if (this.apply(observed)) {
				changed.push(observed);
			}
		}

		return changed;
	}

	/**
	Returns the limit of a process of a server. News of an earlier process may come late.

	@param server The process.
	@param now Milliseconds on the monotonic clock.
	@returns The limit; undefined if the server names none.
	*/
	of(server: ServerProcess, now: number): ServerLimit | undefined {
		const limit = this.#limits.get(server.id);
		const isInForce = limit?.requestsPerSecond !== undefined && now - limit.observedAt <= limitMilliseconds;
		return isInForce && compareStartTimes(limit, server) === 0 ? limit : undefined;
	}

	/**
	Lists the limits in force.

	@param now Milliseconds on the monotonic clock.
	@returns The limits.
	*/
	inForce(now: number): readonly ServerLimit[] {
		this.#removeExpired(now);
		return [...this.#limits.values()].filter(({requestsPerSecond}) => requestsPerSecond !== undefined);
	}

	/**
	Lists the limits and their recent ends for another instance.

	@param now Milliseconds on the monotonic clock.
	@returns The observations.
	*/
	toSend(now: number): readonly SentServerLimit[] {
		this.#removeExpired(now);
		return [...this.#limits.values()].map(({observedAt, ...limit}) => ({...limit, age: now - observedAt}));
	}

	/**
	Removes what is known of a server whose process has ended.

	@param server The server.
	*/
	remove(server: ServerId): void {
		this.#limits.delete(server);
	}

	#removeExpired(now: number): void {
		for (const [server, {requestsPerSecond, observedAt}] of this.#limits) {
			if (now - observedAt > (requestsPerSecond === undefined ? endMilliseconds : limitMilliseconds)) {
				this.#limits.delete(server);
			}
		}
	}
}

/** Small changes are not news: a server may name another number in each answer. */
function isNews(rate: number | undefined, known: number | undefined): boolean {
	if (rate === undefined || known === undefined) {
		return rate !== known;
	}

	return Math.max(rate, known) > minorChangeFactor * Math.min(rate, known);
}
