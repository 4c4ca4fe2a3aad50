import {
	type InstanceId, LruMap, type ServerId, type ServiceId,
} from '@valehitch/core';
import {choosePermits, RateLeaseBook, rateLimitShare} from '@valehitch/routing';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type ColdLimit} from './cold-limits.js';
import {type ActiveEntry} from './select-load-sharing-peers.js';

/** Options of {@linkcode RateLeaseGrantor}. */
export type RateLeaseGrantorOptions = {
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	readonly directory: Pick<ServerDirectory, 'coldServers'>;
	readonly limitOf: (service: ServiceId) => ColdLimit | undefined;
	/** The number of control instances, this one included. */
	readonly grantors: () => number;
};

/** Who asks for leases, and when. */
export type LeaseQuestion = {
	readonly entry: ActiveEntry;
	/** The entry instances that poll this control instance, including the one that asks; the same array until one is added or removed. */
	readonly entries: readonly ActiveEntry[];
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The number of cold servers whose division is remembered. */
const maximumServers = 1024;

/**
Grants entry instances the sends that cold servers tolerate.

@example
```ts
const grantor = new RateLeaseGrantor({startedAt, directory, limitOf, grantors: () => 3});
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
	@returns The sends per second at each cold server where it has any.
	*/
	grantsFor({entry, entries, now}: LeaseQuestion): ReadonlyArray<readonly [ServerId, number]> {
		const {directory, limitOf, grantors} = this.#options;
		this.#book.removeExpired(now);
		const leases: Array<readonly [ServerId, number]> = [];
		for (const record of directory.coldServers(now)) {
			const limit = limitOf(record.service);
			if (limit === undefined) {
				continue;
			}

			const share = rateLimitShare(limit.requestsPerSecond, {grantors: grantors()});
			const wanted = this.#permitsAt(record, {entries, share}).get(entry.instance) ?? 0;
			const permits = this.#book.grant(record.id, {
				holder: entry.instance, wanted, share, now,
			});
			if (permits > 0) {
				leases.push([record.id, permits]);
			}
		}

		return leases;
	}

	/** Each reply to an entry instance asks for all cold servers, while the entry instances seldom change. */
	#permitsAt(server: ServerRecord, {entries, share}: {readonly entries: readonly ActiveEntry[]; readonly share: number}): ReadonlyMap<InstanceId, number> {
		if (this.#entries !== entries) {
			this.#entries = entries;
			this.#permits = newPermits();
		}

		const known = this.#permits.peek(server.id);
		if (known?.share === share) {
			return known.permits;
		}

		const permits = choosePermits(server, {candidates: entries, share});
		this.#permits.set(server.id, {share, permits});
		return permits;
	}
}

function newPermits(): LruMap<ServerId, {readonly share: number; readonly permits: ReadonlyMap<InstanceId, number>}> {
	return new LruMap(maximumServers);
}
