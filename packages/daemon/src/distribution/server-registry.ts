import {
	type Announcement, type Clock, type InstanceId, type ServerId, toId,
} from '@valehitch/core';
import {
	type Digest, type LoadRecord, hasSignificantChange, type ServerRecord, ServerTable, type ServerTableOptions, toLoadStep,
} from '@valehitch/membership';
import {type Timeline} from '../timeline.js';
import {type SharedRecord} from './messages.js';
import {serverKey} from './shared-records.js';

/** Options of a {@linkcode ServerRegistry}. */
export type ServerRegistryOptions = {
	readonly table: ServerTableOptions & {readonly instance: InstanceId};
	readonly timeline: Timeline;
	readonly records: Digest<SharedRecord>;
	readonly loads: Digest<LoadRecord>;
	/** Called when a record has changed and must be propagated. */
	readonly onChange: () => void;
};

const loadIntervalMilliseconds = 5000;
const millisecondsPerSecond = 1000;
const lostRetentionMilliseconds = 3_600_000;

/**
The registry of backend servers: accepts announcements made to this instance, publishes changes in the digests, and applies the changes of other instances.

@example
```ts
registry.announce(announcement);
registry.expire();
```
*/
export class ServerRegistry {
	readonly servers: ServerTable;
	readonly #options: ServerRegistryOptions;
	readonly #clock: Clock;
	readonly #lostSince = new Map<ServerId, number>();
	#loadsPublishedAt = 0;

	constructor(options: ServerRegistryOptions) {
		this.#options = options;
		this.#clock = options.table.clock;
		this.servers = new ServerTable(options.table);
	}

	/**
	Processes an announcement made to this instance.

	@param announcement The announcement.
	*/
	announce(announcement: Announcement): void {
		const before = this.servers.getRecord(announcement.server);
		if (this.servers.announce(announcement)) {
			this.#recordChange(announcement.server, before);
			this.#publish(announcement.server);
		}
	}

	/**
	Applies server records that were received through the digest.

	@param keys The keys of the changed records; keys of members are ignored.
	*/
	applyRecords(keys: readonly string[]): void {
		for (const key of keys) {
			const record = this.#options.records.get(key);
			if (record?.kind === 'server') {
				this.#applyRecord(record.server);
			}
		}
	}

	/**
	Applies loads that were received through the digest.

	@param servers The servers.
	*/
	applyLoads(servers: readonly string[]): void {
		for (const server of servers) {
			const step = (this.#options.loads.get(server) ?? [])[2];
			if (step !== undefined) {
				this.servers.setLoad(toId<ServerId>(server), step);
			}
		}
	}

	/** Declares servers lost whose announcements have expired, and periodically publishes the loads of the servers that announce to this instance. */
	expire(): void {
		for (const {announcement: {server}} of this.servers.expire()) {
			this.#options.timeline.record('server-lost', {server});
			this.#publish(server);
		}

		const now = this.#clock.monotonic();
		if (now - this.#loadsPublishedAt >= loadIntervalMilliseconds) {
			this.#loadsPublishedAt = now;
			this.#publishLoads();
			this.#forget(now);
		}
	}

	#applyRecord(record: ServerRecord): void {
		const {server} = record.announcement;
		const before = this.servers.getRecord(server);
		if (this.servers.merge(record)) {
			this.#recordChange(server, before);
			// The record held here may be newer than the received one.
			this.#publish(server);
		}
	}

	#publish(server: ServerId): void {
		const {records, onChange} = this.#options;
		const record = this.servers.getRecord(server);
		const shared = records.get(serverKey(server));
		if (record === undefined || (shared?.kind === 'server' && !hasSignificantChange(shared.server, record))) {
			return;
		}

		if (records.merge(serverKey(server), {item: {kind: 'server', server: record}})) {
			onChange();
		}
	}

	#publishLoads(): void {
		const {loads, table: {instance}} = this.#options;
		for (const {announcement, holder, state} of this.servers.available()) {
			const {server, startedAt, sequence} = announcement;
			const step = toLoadStep(announcement);
			if (holder === instance && state === 'joined' && loads.get(server)?.[2] !== step) {
				loads.merge(server, {item: [Math.floor(startedAt / millisecondsPerSecond), sequence, step]});
				this.servers.setLoad(server, step);
			}
		}
	}

	#recordChange(server: ServerId, before: ServerRecord | undefined): void {
		const {timeline} = this.#options;
		const after = this.servers.getRecord(server);
		if (after === undefined) {
			return;
		}

		const isNewStart = before === undefined || before.lost || before.announcement.startedAt !== after.announcement.startedAt;
		if (after.lost) {
			timeline.record('server-lost', {server});
		} else if (after.announcement.shuttingDown && (isNewStart || !before.announcement.shuttingDown)) {
			timeline.record('server-draining', {server});
		} else if (isNewStart) {
			timeline.record('server-joined', {server});
		}
	}

	#forget(now: number): void {
		const {records, loads} = this.#options;
		for (const [key, record] of records.entries()) {
			if (record.kind !== 'server') {
				continue;
			}

			const {announcement: {server}, lost} = record.server;
			if (!lost) {
				this.#lostSince.delete(server);
				continue;
			}

			const since = this.#lostSince.get(server) ?? now;
			this.#lostSince.set(server, since);
			if (now - since > lostRetentionMilliseconds) {
				records.delete(key);
				loads.delete(server);
				this.servers.delete(server);
				this.#lostSince.delete(server);
			}
		}
	}
}
