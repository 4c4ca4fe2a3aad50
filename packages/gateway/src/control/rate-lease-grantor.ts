import {type ServerId, type ServiceId} from '@valehitch/core';
import {permitsFor, RateLeaseBook, rateLimitShare} from '@valehitch/routing';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ColdLimit} from './cold-limits.js';
import {type ActiveEntry} from './select-load-sharing-peers.js';

/** Options of {@linkcode RateLeaseGrantor}. */
export type RateLeaseGrantorOptions = {
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	readonly directory: Pick<ServerDirectory, 'records' | 'withColdTime'>;
	readonly limitOf: (service: ServiceId) => ColdLimit | undefined;
	/** The number of control instances, this one included. */
	readonly grantors: () => number;
};

/** Who asks for leases, and when. */
export type LeaseQuestion = {
	readonly entry: ActiveEntry;
	/** The entry instances that poll this control instance, including the one that asks. */
	readonly entries: readonly ActiveEntry[];
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

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
		for (const record of directory.records) {
			const limit = limitOf(record.service);
			if (limit === undefined || record.state !== 'ready' || (directory.withColdTime(record, now).coldRemaining ?? 0) === 0) {
				continue;
			}

			const share = rateLimitShare(limit.requestsPerSecond, {grantors: grantors()});
			const wanted = permitsFor(entry.instance, {server: record, candidates: entries, share});
			const permits = this.#book.grant(record.id, {
				holder: entry.instance, wanted, share, now,
			});
			if (permits > 0) {
				leases.push([record.id, permits]);
			}
		}

		return leases;
	}
}
