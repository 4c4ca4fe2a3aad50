import {type ServerId} from '@valehitch/core';
import {LeasedRateLimiter, type LeasedRateLimiterOptions, type ReceivedRateLeases} from '@valehitch/routing';
import {
	type SentServerLimit, type ServerLimit, ServerLimits, type ServerProcess,
} from '../servers/server-limits.js';

const millisecondsPerSecond = 1000;
/** The longest time for which callers are told to wait for a server with a very low limit, in milliseconds. */
const maximumWaitMilliseconds = 10_000;

/**
The rate limits of servers as known to an entry instance, and its part of them.

A limit is meant for all instances together, so an instance sends to a limited server only by the leases that control instances grant it.

@example
```ts
const limits = new KnownRateLimits({startedAt});
limits.hear(server, {requestsPerSecond: 1.7, now});
limits.allows(server, now); // false until a lease arrives
```
*/
export class KnownRateLimits {
	readonly #limits = new ServerLimits();
	/** The limits that this instance itself has heard; those that others report are not reported back. */
	readonly #heard = new ServerLimits();
	readonly #limiter: LeasedRateLimiter;

	constructor(options: LeasedRateLimiterOptions) {
		this.#limiter = new LeasedRateLimiter({...options, isLender: true});
	}

	/**
	Records that a server named a limit.

	@param server The server.
	@param named The requests per second, and the time.
	@returns Whether the limit changed.
	*/
	hear({id, startedAt}: ServerProcess, {requestsPerSecond, now}: {readonly requestsPerSecond: number; readonly now: number}): boolean {
		return this.#apply({
			server: id, startedAt, requestsPerSecond, observedAt: now,
		});
	}

	/**
	Records that a server answered without naming a limit. This ends its limit if the request was sent after the limit was last heard, because answers overtake each other.

	@param server The server.
	@param answered When the request was sent and answered.
	@returns Whether a limit ended.
	*/
	hearNone({id, startedAt}: ServerProcess, {sentAt, now}: {readonly sentAt: number; readonly now: number}): boolean {
		const limit = this.#limits.of({id, startedAt}, now);
		return limit !== undefined && sentAt > limit.observedAt && this.#apply({server: id, startedAt, observedAt: now});
	}

	/**
	Lists the limits that this instance itself has heard.

	@param now Milliseconds on the monotonic clock.
	@returns The limits, and their recent ends.
	*/
	heard(now: number): readonly SentServerLimit[] {
		return this.#heard.toSend(now);
	}

	/**
	Applies the limits that a control instance reports.

	@param limits The limits.
	@param now Milliseconds on the monotonic clock.
	@returns The limits that changed.
	*/
	merge(limits: readonly SentServerLimit[], now: number): readonly ServerLimit[] {
		return this.#limits.merge(limits, now);
	}

	/**
	Applies the leases that a control instance has granted.

	@param received The leases.
	*/
	renewLeases(received: ReceivedRateLeases): void {
		this.#limiter.renew(received);
	}

	/** Returns the number of limits in force at a time in milliseconds on the monotonic clock. */
	countAt(now: number): number {
		return this.#limits.inForce(now).length;
	}

	/**
	Checks whether a server names a limit.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it does.
	*/
	isLimited(server: ServerProcess, now: number): boolean {
		return this.#limits.of(server, now) !== undefined;
	}

	/**
	Checks whether a request may be sent to a server now.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the server has no limit, or a send of this instance's part is left.
	*/
	allows(server: ServerProcess, now: number): boolean {
		return !this.isLimited(server, now) || this.#limiter.allows(server.id, now);
	}

	/**
	Returns how long it takes until a request may be sent to a server.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if one may be sent now. Without a lease, the mean time between two sends of all instances.
	*/
	waitFor(server: ServerProcess, now: number): number {
		const limit = this.#limits.of(server, now);
		if (limit?.requestsPerSecond === undefined) {
			return 0;
		}

		const nextAt = this.#limiter.nextSendAt(server.id, now);
		return nextAt === undefined ? Math.min(maximumWaitMilliseconds, millisecondsPerSecond / limit.requestsPerSecond) : nextAt - now;
	}

	/**
	Counts a send to a server if it has a limit.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	countSend(server: ServerProcess, now: number): void {
		if (this.isLimited(server, now)) {
			this.#limiter.countSend(server.id, now);
		}
	}

	/**
	Lends unused sends to a server to another instance.

	@param server The server.
	@param count The number of sends that the other instance needs.
	@param now Milliseconds on the monotonic clock.
	@returns The number of sends that it may use.
	*/
	lend(server: ServerId, count: number, now: number): number {
		return this.#limiter.lend(server, count, now);
	}

	/**
	Adds sends that another instance has lent.

	@param server The server.
	@param count Their number.
	@param askedAt When this instance asked for them, in milliseconds on the monotonic clock.
	*/
	addBorrowed(server: ServerId, count: number, askedAt: number): void {
		this.#limiter.addBorrowed(server, count, askedAt);
	}

	/**
	Removes what is known of a server whose process has ended.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#limiter.removeServer(server);
		this.#heard.remove(server);
		this.#limits.remove(server);
	}

	#apply(limit: ServerLimit): boolean {
		this.#heard.apply(limit);
		return this.#limits.apply(limit);
	}
}
