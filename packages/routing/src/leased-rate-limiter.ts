import {type InstanceId, type ServerId} from '@valehitch/core';
import {rateWindowMilliseconds} from './rate-lease-terms.js';

/** Options of {@linkcode LeasedRateLimiter}. */
export type LeasedRateLimiterOptions = {
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
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
	readonly #leases = new Map<ServerId, Map<InstanceId, Lease>>();
	readonly #sentAt = new Map<ServerId, readonly number[]>();

	constructor({startedAt}: LeasedRateLimiterOptions) {
		this.#startedAt = startedAt;
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
		const window = this.#windowOf(server, now);
		if (now < this.#startedAt + window) {
			return false;
		}

		return this.#recentSends(server, now).length < this.#permitsAt(server, now);
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

		const window = this.#windowOf(server, now);
		const lastUse = this.#recentSends(server, now).at(-permits);
		return Math.max(now, this.#startedAt + window, lastUse === undefined ? now : lastUse + window);
	}

	/**
	Counts a send to a server, whether or not the server has a limit now: it may get one within the same window.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	countSend(server: ServerId, now: number): void {
		this.#sentAt.set(server, [...this.#recentSends(server, now), now]);
	}

	/**
	Removes what is known about a server.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#leases.delete(server);
		this.#sentAt.delete(server);
	}

	#recentSends(server: ServerId, now: number): readonly number[] {
		const window = this.#windowOf(server, now);
		return (this.#sentAt.get(server) ?? []).filter(at => now - at <= window);
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
