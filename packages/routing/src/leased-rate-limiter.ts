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
	readonly leases: ReadonlyArray<readonly [server: ServerId, permits: number]>;
	/** When the leases expire, in milliseconds on the monotonic clock. */
	readonly validUntil: number;
};

type Lease = {
	readonly permits: number;
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
	/** An earlier process of this instance may have used its leases until its end. */
	readonly #startsAt: number;
	readonly #leases = new Map<ServerId, Map<InstanceId, Lease>>();
	readonly #sentAt = new Map<ServerId, readonly number[]>();

	constructor({startedAt}: LeasedRateLimiterOptions) {
		this.#startsAt = startedAt + rateWindowMilliseconds;
	}

	/**
	Replaces the leases of a control instance at the servers that a reply names.

	@param received The leases.
	*/
	renew({source, leases, validUntil}: ReceivedRateLeases): void {
		for (const [server, permits] of leases) {
			const bySource = this.#leases.get(server) ?? new Map<InstanceId, Lease>();
			this.#leases.set(server, bySource.set(source, {permits, validUntil}));
		}
	}

	/**
	Checks whether the leases allow a send to a server now.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the send is allowed; it must be counted with `countSend`.
	*/
	allows(server: ServerId, now: number): boolean {
		if (now < this.#startsAt) {
			return false;
		}

		const leases = this.#leases.get(server);
		if (leases === undefined) {
			return false;
		}

		let permits = 0;
		for (const {permits: granted, validUntil} of leases.values()) {
			permits += validUntil > now ? granted : 0;
		}

		return this.#recentSends(server, now).length < permits;
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
		return (this.#sentAt.get(server) ?? []).filter(at => now - at <= rateWindowMilliseconds);
	}
}
