import {type Clock, type ServerId} from '@valehitch/core';
import {
	type HeldWork, type PoolPicture, RecentTimes, type ResponseTimes, serverSlowness, type ServerWork, type WorkRow, type WorkSums,
} from '@valehitch/routing';
import {type LoadExchange} from './load-exchange.js';
import {type ServerLoad, shortRequestMilliseconds} from './tracked-server.js';
import {WorkReporter, type WorkReporterOptions, type ReceivedWork} from './work-reporter.js';

/** Options of {@linkcode PoolLoads}. */
export type PoolLoadsOptions = Omit<WorkReporterOptions, 'ownWork'> & {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Exchanges loads with the nearest entry instances, which is used without a digest. */
	readonly exchange: Pick<LoadExchange, 'recordChange' | 'peerLoadAt' | 'discardServer'>;
	/** Returns whether there are more entry instances than the exchange reaches. */
	readonly isLarge: () => boolean;
	/** Returns the requests of this instance in flight at each known server. */
	readonly ownLoads: () => Iterable<readonly [ServerId, ServerLoad]>;
	/** Returns the requests of this instance in flight at a server; undefined if the server is unknown. */
	readonly ownLoadAt: (server: ServerId) => ServerLoad | undefined;
	/** Returns the work that this instance holds back, by priority; none by default. */
	readonly heldWork?: () => readonly HeldWork[];
};

type ReadWork = {
	readonly received: ReceivedWork;
	readonly rows: ReadonlyMap<ServerId, WorkRow>;
	/** The times of all servers. */
	readonly times: ResponseTimes;
};

type WorkAsOf = {
	readonly work: ReadWork;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** How long the rows of a server whose process has ended are passed over, in milliseconds: until the reports of all instances are of its next process. */
const discardMilliseconds = 1000;
const noTimes: ResponseTimes = {observed: 0, expected: 0};

/**
The load of the other entry instances at each server: by the digest of control instances where there are more instances than peers, and otherwise, or while it is lost, by what the peers tell.

@example
```ts
const loads = new PoolLoads(options);
loads.flush();
loads.peerLoadAt(server);
loads.picture().workAt(server);
```
*/
export class PoolLoads {
	readonly #options: PoolLoadsOptions;
	readonly #reporter: WorkReporter;
	readonly #times = new RecentTimes();
	/** Until when the rows of servers are passed over, in milliseconds on the monotonic clock. */
	readonly #discardedUntil = new Map<ServerId, number>();
	#read: ReadWork | undefined;

	constructor(options: PoolLoadsOptions) {
		this.#options = options;
		this.#reporter = new WorkReporter({...options, ownWork: () => this.#ownWork()});
	}

	/** Whether the digest is in use. */
	get usesDigest(): boolean {
		return this.#options.isLarge() && this.#reporter.latest !== undefined;
	}

	/** The age of what is known of the other entry instances, in milliseconds; 0 if it comes from the peers. */
	get othersAge(): number {
		const {age} = this.#reporter;
		return this.#options.isLarge() && Number.isFinite(age) ? age : 0;
	}

	/** The number of servers whose rows are passed over, or were until recently. */
	get discardedCount(): number {
		return this.#discardedUntil.size;
	}

	/** Reports the work of this instance if there are more instances than peers and it is time to. */
	flush(): void {
		if (this.#options.isLarge()) {
			this.#reporter.flush();
		}
	}

	/**
	Records a change of the local load.

	@param change The change, in units of a short request.
	*/
	recordChange(change: number): void {
		this.#options.exchange.recordChange(change);
		this.#reporter.recordChange();
	}

	/**
	Returns the load of the other entry instances at a server.

	@param server The server.
	@returns The load as far as it is known, in units of a short request.
	*/
	peerLoadAt(server: ServerId): number {
		const now = this.#now();
		const work = this.#readWork(now);
		if (work === undefined) {
			return this.#options.exchange.peerLoadAt(server);
		}

		const [, reading, streams] = this.#othersAt(server, {work, now});
		return (reading / shortRequestMilliseconds) + streams;
	}

	/**
	Discards what is known of a server whose process has ended.

	@param server The server.
	*/
	discardServer(server: ServerId): void {
		this.#options.exchange.discardServer(server);
		this.#times.forget(server);
		const now = this.#now();
		for (const [other, until] of this.#discardedUntil) {
			if (until <= now) {
				this.#discardedUntil.delete(other);
			}
		}

		this.#discardedUntil.set(server, now + discardMilliseconds);
	}

	/**
	Records how long a server took to the first event of an answer.

	@param server The server.
	@param times The observed time, and the one expected of a server of mean speed.
	*/
	recordSample(server: ServerId, times: ResponseTimes): void {
		this.#times.record(server, times, this.#now());
		this.#reporter.recordChange();
	}

	/**
	Returns how slow a server is against the mean of the pool, by the answers of all entry instances.

	@param server The server.
	@returns 1 for a server of mean speed, 2 for one that takes twice as long; undefined without a digest.
	*/
	slownessOf(server: ServerId): number | undefined {
		const now = this.#now();
		const work = this.#readWork(now);
		return work === undefined ? undefined : this.#slownessBy(this.#othersAt(server, {work, now}), {work, now});
	}

	/**
	Returns what is known of the load of the pool; its age is infinite without a digest.

	@returns The picture, whose own part is as it is when it is asked for.
	*/
	picture(): PoolPicture {
		return {
			age: this.usesDigest ? this.#reporter.age : Number.POSITIVE_INFINITY,
			workAt: server => this.workAt(server),
			heldByOthers: this.usesDigest ? this.#reporter.latest?.held ?? [] : [],
		};
	}

	/**
	Returns the work of all entry instances at a server, as far as it is known.

	@param server The server.
	@returns The work, that of this instance as it is now; undefined if the server is unknown.
	*/
	workAt(server: ServerId): ServerWork | undefined {
		const own = this.#options.ownLoadAt(server);
		if (own === undefined) {
			return undefined;
		}

		const now = this.#now();
		const work = this.#readWork(now);
		if (work === undefined) {
			return {reading: own.reading, streams: own.streams, slowness: 1};
		}

		const row = this.#othersAt(server, {work, now});
		const [, reading, streams] = row;
		return {reading: own.reading + reading, streams: own.streams + streams, slowness: this.#slownessBy(row, {work, now})};
	}

	#slownessBy(row: WorkRow, {work, now}: WorkAsOf): number {
		return serverSlowness(sumTimes(timesOf(row), this.#times.at(row[0], now)), work.times);
	}

	#othersAt(server: ServerId, {work, now}: WorkAsOf): WorkRow {
		const isDiscarded = (this.#discardedUntil.get(server) ?? Number.NEGATIVE_INFINITY) > now;
		return (isDiscarded ? undefined : work.rows.get(server)) ?? [server, 0, 0, 0, 0];
	}

	/** The digest in use, in the form in which it is looked up. Each choice of a server asks for it many times, so that the time is read once by whoever asks. */
	#readWork(now: number): ReadWork | undefined {
		const received = this.#options.isLarge() ? this.#reporter.latestAt(now) : undefined;
		if (received !== undefined && this.#read?.received !== received) {
			let times = noTimes;
			for (const row of received.rows) {
				times = sumTimes(times, timesOf(row));
			}

			this.#read = {received, rows: new Map(received.rows.map(row => [row[0], row])), times};
		}

		return received === undefined ? undefined : this.#read;
	}

	#ownWork(): WorkSums {
		const now = this.#now();
		const loads = new Map(this.#options.ownLoads());
		const rows: WorkRow[] = [];
		for (const server of new Set([...loads.keys(), ...this.#times.servers(now)])) {
			const {reading, streams} = loads.get(server) ?? {reading: 0, streams: 0};
			const {observed, expected} = this.#times.at(server, now);
			const row: WorkRow = [server, Math.round(reading), streams, Math.round(observed), Math.round(expected)];
			if (row.some(value => value !== 0 && value !== server)) {
				rows.push(row);
			}
		}

		return {rows, held: this.#options.heldWork?.() ?? []};
	}

	#now(): number {
		return this.#options.clock.monotonic();
	}
}

function timesOf(row: WorkRow): ResponseTimes {
	return {observed: row[3], expected: row[4]};
}

function sumTimes(one: ResponseTimes, other: ResponseTimes): ResponseTimes {
	return {observed: one.observed + other.observed, expected: one.expected + other.expected};
}
