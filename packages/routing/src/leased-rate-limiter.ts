import {type InstanceId, type ServerId} from '@valehitch/core';
import {rateLoanMilliseconds, rateWindowMilliseconds} from './rate-lease-terms.js';

/** Options of {@linkcode LeasedRateLimiter}. */
export type LeasedRateLimiterOptions = {
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	/** Whether sends are lent to other instances, so that a new process waits until the loans of an earlier one have expired; false by default. */
	readonly isLender?: boolean;
};

/** The leases in a reply of a control instance. */
export type ReceivedRateLeases = {
	readonly source: InstanceId;
	/** The sends per window at each server; the window is in milliseconds, and `rateWindowMilliseconds` by default. */
	readonly leases: ReadonlyArray<readonly [server: ServerId, permits: number, window?: number]>;
	/** When the leases expire, in milliseconds on the monotonic clock. */
	readonly validUntil: number;
};

type Lease = {
	readonly permits: number;
	readonly window: number;
	readonly validUntil: number;
};

/**
Limits the sends of one instance to servers with a rate limit by the leases that control instances have granted it.

@example
```ts
const limiter = new LeasedRateLimiter({startedAt});
limiter.renew({source, leases: [[server, 1]], validUntil});
limiter.allows(server, now); // true
limiter.countSend(server, now);
limiter.allows(server, now); // false
```
*/
export class LeasedRateLimiter {
	/** When this process started, in milliseconds on the monotonic clock; an earlier one may have used its leases until then. */
	readonly #startedAt: number;
	readonly #isLender: boolean;
	readonly #leases = new Map<ServerId, Map<InstanceId, Lease>>();
	readonly #sentAt = new Map<ServerId, readonly number[]>();
	/** When each send that another instance lent expires, in milliseconds on the monotonic clock. */
	readonly #borrowed = new Map<ServerId, readonly number[]>();

	constructor({startedAt, isLender = false}: LeasedRateLimiterOptions) {
		this.#startedAt = startedAt;
		this.#isLender = isLender;
	}

	/**
	Replaces the leases of a control instance at the servers that a reply names.

	@param received The leases.
	*/
	renew({source, leases, validUntil}: ReceivedRateLeases): void {
		for (const [server, permits, window = rateWindowMilliseconds] of leases) {
			const bySource = this.#leases.get(server) ?? new Map<InstanceId, Lease>();
			this.#leases.set(server, bySource.set(source, {permits, window, validUntil}));
		}
	}

	/**
	Checks whether the leases allow a send to a server now.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the send is allowed; it must be counted with `countSend`.
	*/
	allows(server: ServerId, now: number): boolean {
		return this.#allowsOwn(server, now) || this.#borrowedSends(server, now).length > 0;
	}

	/**
	Lends unused sends to another instance, at most half of them. They count as sent when the loan expires, since they may be used until then.

	@param server The server.
	@param count The number of sends that the other instance needs.
	@param now Milliseconds on the monotonic clock.
	@returns The number of sends that it may use, for `rateLoanMilliseconds` from when it asked.
	*/
	lend(server: ServerId, count: number, now: number): number {
		const expiresAt = now + rateLoanMilliseconds;
		if (!this.#isLender || now < this.#usableFrom(server, now)) {
			return 0;
		}

		const unused = this.#permitsAt(server, expiresAt) - this.#recentSends(server, now).length;
		const lent = Math.max(0, Math.min(count, Math.floor(unused / 2)));
		this.#sentAt.set(server, [...this.#recentSends(server, now), ...Array.from({length: lent}, () => expiresAt)]);
		return lent;
	}

	/**
	Adds sends that another instance has lent.

	@param server The server.
	@param count Their number.
	@param askedAt When this instance asked for them, in milliseconds on the monotonic clock.
	*/
	addBorrowed(server: ServerId, count: number, askedAt: number): void {
		const added = Array.from({length: count}, () => askedAt + rateLoanMilliseconds);
		this.#borrowed.set(server, [...this.#borrowedSends(server, askedAt), ...added]);
	}

	/**
	Returns when the leases allow the next send to a server, if they are renewed.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds on the monotonic clock; undefined without a lease.
	*/
	nextSendAt(server: ServerId, now: number): number | undefined {
		const permits = this.#permitsAt(server, now);
		if (permits === 0) {
			return undefined;
		}

		const lastUse = this.#recentSends(server, now).at(-permits);
		return Math.max(now, this.#usableFrom(server, now), lastUse === undefined ? now : lastUse + this.#windowOf(server, now));
	}

	/**
	Counts a send to a server, whether or not the server has a limit now: it may get one within the same window. A borrowed send is used if no own one is left.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	countSend(server: ServerId, now: number): void {
		const borrowed = this.#borrowedSends(server, now);
		if (borrowed.length > 0 && !this.#allowsOwn(server, now)) {
			this.#borrowed.set(server, borrowed.slice(1));
			return;
		}

		this.#sentAt.set(server, [...this.#recentSends(server, now), now]);
	}

	/**
	Removes what is known about a server.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#leases.delete(server);
		this.#sentAt.delete(server);
		this.#borrowed.delete(server);
	}

	/** Returns when no send of an earlier process, or of one that it lent a send, falls into the same window any more. */
	#usableFrom(server: ServerId, now: number): number {
		return this.#startedAt + this.#windowOf(server, now) + (this.#isLender ? rateLoanMilliseconds : 0);
	}

	#allowsOwn(server: ServerId, now: number): boolean {
		return now >= this.#usableFrom(server, now) && this.#recentSends(server, now).length < this.#permitsAt(server, now);
	}

	#recentSends(server: ServerId, now: number): readonly number[] {
		const window = this.#windowOf(server, now);
		return (this.#sentAt.get(server) ?? []).filter(at => now - at <= window);
	}

	#borrowedSends(server: ServerId, now: number): readonly number[] {
		return (this.#borrowed.get(server) ?? []).filter(expiresAt => expiresAt > now);
	}

	#permitsAt(server: ServerId, now: number): number {
		let permits = 0;
		for (const {permits: granted, validUntil} of this.#leases.get(server)?.values() ?? []) {
			permits += validUntil > now ? granted : 0;
		}

		return permits;
	}

	/** Leases of different windows are added up over the longest one, which never allows more than each of them would. */
	#windowOf(server: ServerId, now: number): number {
		let longest = rateWindowMilliseconds;
		for (const {window, validUntil} of this.#leases.get(server)?.values() ?? []) {
			if (validUntil + window > now) {
				longest = Math.max(longest, window);
			}
		}

		return longest;
	}
}
