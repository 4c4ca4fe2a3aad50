import {type InstanceId, type ServerId} from '@valehitch/core';
import {rateLeaseMilliseconds, rateWindowMilliseconds} from './rate-lease-terms.js';

/** Options of {@linkcode RateLeaseBook}. */
export type RateLeaseBookOptions = {
	/** When this process started, in milliseconds on the monotonic clock. An earlier process of this instance may have granted leases until then. */
	readonly startedAt: number;
};

/** A request for a lease. */
export type RateLeaseRequest = {
	readonly holder: InstanceId;
	/** The number of sends per window that the holder should have. */
	readonly wanted: number;
	/** The number of sends per window that this instance may grant for the server in total. */
	readonly share: number;
	/** The window over which the sends are counted, in milliseconds; `rateWindowMilliseconds` by default. */
	readonly window?: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type Grant = {
	readonly permits: number;
	/** When no send under this grant can fall into the same window as a send under a later one. */
	readonly freeAt: number;
};

/**
The rate leases that one control instance has granted. It answers the load of a server that tolerates few requests per second, sent by instances that do not know of each other.

Each control instance grants from a fixed share of the limit, so that the total holds without agreement: across partitions, with outdated membership on either side, and after restarts. A permit that was granted is available to another holder only once it has expired and the window of its last use has passed.

@example
```ts
const book = new RateLeaseBook({startedAt});
book.grant(server, {holder, wanted: 1, share: 3, now}); // 1
```
*/
export class RateLeaseBook {
	/** When the last lease of an earlier process has expired. */
	readonly #startsAt: number;
	readonly #grants = new Map<ServerId, Map<InstanceId, readonly Grant[]>>();

	constructor({startedAt}: RateLeaseBookOptions) {
		this.#startsAt = startedAt + rateLeaseMilliseconds;
	}

	/**
	Grants or renews a lease.

	@param server The server to which the lease allows sends.
	@param request The holder, and how much it may have.
	@returns The number of sends per window, for `rateLeaseMilliseconds` from now; 0 without a lease.
	*/
	grant(server: ServerId, {holder, wanted, share, window = rateWindowMilliseconds, now}: RateLeaseRequest): number {
		if (now < this.#startsAt + window) {
			return 0;
		}

		const holders = this.#activeGrants(server, now);
		let grantedToOthers = 0;
		for (const [other, grants] of holders) {
			grantedToOthers += other === holder ? 0 : highest(grants);
		}

		const permits = Math.max(0, Math.min(wanted, share - grantedToOthers));
		if (permits > 0) {
			const freeAt = now + rateLeaseMilliseconds + window;
			holders.set(holder, [...(holders.get(holder) ?? []).filter(grant => grant.permits > permits), {permits, freeAt}]);
		}

		return permits;
	}

	/** Removes expired grants of all servers. */
	removeExpired(now: number): void {
		for (const server of this.#grants.keys()) {
			if (this.#activeGrants(server, now).size === 0) {
				this.#grants.delete(server);
			}
		}
	}

	#activeGrants(server: ServerId, now: number): Map<InstanceId, readonly Grant[]> {
		const holders = this.#grants.get(server) ?? new Map<InstanceId, readonly Grant[]>();
		this.#grants.set(server, holders);
		for (const [holder, grants] of holders) {
			const active = grants.filter(({freeAt}) => freeAt > now);
			if (active.length === 0) {
				holders.delete(holder);
			} else if (active.length < grants.length) {
				holders.set(holder, active);
			}
		}

		return holders;
	}
}

/** A reply that lowers a lease may be lost, so the highest grant counts until it expires. */
function highest(grants: readonly Grant[]): number {
	return Math.max(...grants.map(({permits}) => permits));
}
