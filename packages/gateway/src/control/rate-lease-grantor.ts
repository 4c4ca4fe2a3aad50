import {type InstanceId, LruMap, type ServerId} from '@valehitch/core';
import {choosePermits, RateLeaseBook, type RateLimitPart} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type ActiveEntry} from './select-load-sharing-peers.js';

/** Options of {@linkcode RateLeaseGrantor}. */
export type RateLeaseGrantorOptions = {
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	/** Returns the servers that get only leased sends at a time in milliseconds on the monotonic clock. */
	readonly servers: (now: number) => readonly LeasedServer[];
	/** This control instance, if it should choose other holders than others; by default all choose the same. */
	readonly self?: InstanceId;
};

/** A server that gets only leased sends, and the part of them that this control instance may grant. */
export type LeasedServer = RateLimitPart & {
	readonly record: ServerRecord;
};

/** A lease on sends to a server: their number per window, and the window in milliseconds. */
export type GrantedLease = readonly [server: ServerId, permits: number, window: number];

/** Who asks for leases, and when. */
export type LeaseQuestion = {
	readonly entry: ActiveEntry;
	/** The entry instances that poll this control instance, including the one that asks; the same array until one is added or removed. */
	readonly entries: readonly ActiveEntry[];
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The number of servers whose division is remembered. */
const maximumServers = 1024;

/**
Grants entry instances the sends that servers with a rate limit tolerate.

@example
```ts
const grantor = new RateLeaseGrantor({startedAt, servers: () => [{record, share: 3, window: 1000}]});
grantor.grantsFor({entry, entries, now});
```
*/
export class RateLeaseGrantor {
	readonly #options: RateLeaseGrantorOptions;
	readonly #book: RateLeaseBook;
	#permits = newPermits();
	#entries: readonly ActiveEntry[] = [];

	constructor(options: RateLeaseGrantorOptions) {
		this.#options = options;
		this.#book = new RateLeaseBook(options);
	}

	/**
	Grants the leases that an entry instance gets with a reply.

	@param question The entry instance.
	@returns The leases at each server where it has any.
	*/
	grantsFor({entry, entries, now}: LeaseQuestion): readonly GrantedLease[] {
		this.#book.removeExpired(now);
		const leases: GrantedLease[] = [];
		for (const {record, share, window} of this.#options.servers(now)) {
			const wanted = this.#permitsAt(record, {entries, share}).get(entry.instance) ?? 0;
			const permits = this.#book.grant(record.id, {
				holder: entry.instance, wanted, share, window, now,
			});
			if (permits > 0) {
				leases.push([record.id, permits, window]);
			}
		}

		return leases;
	}

	/** Each reply to an entry instance asks for all of them, while the entry instances seldom change. */
	#permitsAt(server: ServerRecord, {entries, share}: {readonly entries: readonly ActiveEntry[]; readonly share: number}): ReadonlyMap<InstanceId, number> {
		if (this.#entries !== entries) {
			this.#entries = entries;
			this.#permits = newPermits();
		}

		const {self} = this.#options;
		const known = this.#permits.peek(server.id);
		if (known?.share === share) {
			return known.permits;
		}

		const permits = choosePermits(server, {candidates: entries, share, ...(self !== undefined && {grantor: self})});
		this.#permits.set(server.id, {share, permits});
		return permits;
	}
}

function newPermits(): LruMap<ServerId, {readonly share: number; readonly permits: ReadonlyMap<InstanceId, number>}> {
	return new LruMap(maximumServers);
}
