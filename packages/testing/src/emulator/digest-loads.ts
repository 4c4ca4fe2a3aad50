import {
	type InstanceId, type RandomSource, type ServerId, toId,
} from '@valehitch/core';
import {type EntryServers} from '@valehitch/gateway';
import {
	type AgedWork, WorkDigest, workExpiryMilliseconds, type WorkRow,
} from '@valehitch/routing';
import {type EmulatedEntry} from './emulated-entry.js';
import {type EventQueue} from './event-queue.js';

/** Options of `DigestLoads`. */
export type DigestLoadsOptions = {
	readonly queue: EventQueue;
	readonly random: RandomSource;
	/** The share of reports and replies that are lost; 0 by default. */
	readonly lossRate?: number;
	/** The time without any control instance, in simulated milliseconds; none by default. */
	readonly outage?: DigestOutage | undefined;
};

/** A time without any control instance. */
export type DigestOutage = {
	readonly from: number;
	readonly to: number;
};

type Picture = {
	readonly rows: ReadonlyMap<ServerId, WorkRow>;
	readonly age: number;
	readonly at: number;
};

const controlCount = 3;
/** The intervals of reports and of summaries. */
const reportMilliseconds = 150;
const summaryMilliseconds = 100;
const unitMilliseconds = 100;

/**
The load of each server as the digest of three control instances tells it to each entry instance.

@example
```ts
const digest = new DigestLoads(entries, {queue, random});
digest.peerLoadAt(server, servers);
```
*/
export class DigestLoads {
	readonly #options: DigestLoadsOptions;
	readonly #digests = Array.from({length: controlCount}, () => new WorkDigest());
	readonly #pictures = new Map<EntryServers, Picture>();
	#sequence = 0;

	constructor(entries: readonly EmulatedEntry[], options: DigestLoadsOptions) {
		this.#options = options;
		const {queue, random} = options;
		for (const [index, {servers}] of entries.entries()) {
			queue.schedule(reportMilliseconds * random(), () => {
				this.#report(index, servers);
			});
		}

		for (const index of this.#digests.keys()) {
			queue.schedule(summaryMilliseconds * random(), () => {
				this.#summarize(index);
			});
		}
	}

	/**
	Checks whether an instance has a digest that is not too old.

	@param servers The servers of the instance.
	@returns Whether it uses the digest.
	*/
	isKnown(servers: EntryServers): boolean {
		const picture = this.#pictures.get(servers);
		return picture !== undefined && this.#options.queue.now - picture.at <= workExpiryMilliseconds;
	}

	/**
	Returns the load that the digest tells for a server.

	@param server The server.
	@param servers The servers of the instance that asks.
	@returns The load of the other instances.
	*/
	peerLoadAt(server: ServerId, servers: EntryServers): number {
		const [, reading, streams] = this.#pictures.get(servers)?.rows.get(server) ?? [server, 0, 0];
		return (reading / unitMilliseconds) + streams;
	}

	/**
	Returns the age of the digest.

	@param servers The servers of the instance that asks.
	@returns Milliseconds; 0 before the first reply.
	*/
	ageAt(servers: EntryServers): number {
		const picture = this.#pictures.get(servers);
		return picture === undefined ? 0 : this.#options.queue.now - picture.at + picture.age;
	}

	#report(index: number, servers: EntryServers): void {
		const {queue, random} = this.#options;
		const digest = this.#digests[index % controlCount]!;
		const entry = toId<InstanceId>(`entry-${index}`);
		if (this.#arrives()) {
			const rows = [...servers.ownLoads].map(([server, {reading, streams}]): WorkRow => [server, Math.round(reading), streams, 0, 0]).filter(([, reading, streams]) => reading + streams > 0);
			digest.receiveReport(entry, {
				run: 'one', sequence: ++this.#sequence, rows, held: [],
			}, queue.now);
			if (this.#arrives()) {
				this.#pictures.set(servers, this.#pictureOf(digest.others(entry, queue.now)));
			}
		}

		queue.schedule(reportMilliseconds * (0.75 + (0.5 * random())), () => {
			this.#report(index, servers);
		});
	}

	/** Whether the next message arrives. */
	#arrives(): boolean {
		const {queue: {now}, random, lossRate = 0, outage} = this.#options;
		return random() >= lossRate && !(outage !== undefined && now >= outage.from && now < outage.to);
	}

	#pictureOf({rows, age}: AgedWork): Picture {
		return {rows: new Map(rows.map(row => [row[0], row])), age, at: this.#options.queue.now};
	}

	#summarize(index: number): void {
		const {queue} = this.#options;
		const summary = {run: 'one', sequence: ++this.#sequence, ...this.#digests[index]!.summary(queue.now)};
		for (const [other, digest] of this.#digests.entries()) {
			if (other !== index && this.#arrives()) {
				digest.receiveSummary(toId<InstanceId>(`control-${index}`), summary, queue.now);
			}
		}

		queue.schedule(summaryMilliseconds, () => {
			this.#summarize(index);
		});
	}
}
