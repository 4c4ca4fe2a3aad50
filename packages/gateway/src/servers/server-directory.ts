import {type ServerId, type ZoneId} from '@valehitch/core';
import {ChangeLog} from './change-log.js';
import {ColdPeriod, type RequiredColdPeriod} from './cold-period.js';
import {compareStartTimes} from './compare-start-times.js';
import {hasReplaced} from './has-replaced.js';
import {mergeServerRecord} from './merge-server-record.js';
import {ServerAddresses} from './server-addresses.js';
import {type ServerRecord} from './server-record.js';

/** Options of a server directory. */
export type ServerDirectoryOptions = {
	/** The time without an announcement after which a server is considered silent, in milliseconds. */
	readonly silentMilliseconds: number;
	/** The time without an announcement after which a server is removed, in milliseconds; a stopped server is removed after twice this time. Defaults to 180,000. */
	readonly retentionMilliseconds?: number;
};

type DirectoryEntry = {
	record: ServerRecord;
	lastHeardAt: number;
	/** When the stop of the server was recorded, or `undefined` while it is running. */
	endedAt: number | undefined;
	readonly cold: ColdPeriod;
	/** Whether the record was restored from a previous run and the server has not announced itself since. */
	isRestored: boolean;
};

type AddOptions = {
	readonly lastHeardAt: number;
	readonly now: number;
	readonly isRestored?: boolean;
};

/** How far the announced end of a cold period may move without being told again, in milliseconds; announcements take a varying time to arrive. */
const coldToleranceMilliseconds = 300;

/** How long a control instance keeps a server that no longer announces itself, in milliseconds. */
export const defaultRetentionMilliseconds = 180_000;

/**
The backend servers that have announced themselves to any control instance. Changes are numbered, so that readers can request only those after a cursor.

@example
```ts
const directory = new ServerDirectory({silentMilliseconds: 6000});
directory.announce(record, now);
directory.changedSince(0);
```
*/
export class ServerDirectory {
	readonly #options: Required<ServerDirectoryOptions>;
	/** The shutdown of a server is kept longer than an instance that missed it keeps the server. */
	readonly #stoppingRetentionMilliseconds: number;
	readonly #servers = new Map<ServerId, DirectoryEntry>();
	readonly #addresses = new ServerAddresses();
	readonly #changes = new ChangeLog<ServerId>();
	/** The servers that may be cold. */
	readonly #cold = new Set<ServerId>();
	/** When unknown servers were reported as stopped, in milliseconds on the monotonic clock; a late announcement must not add them again. */
	readonly #endedUnknown = new Map<ServerId, number>();

	constructor(options: ServerDirectoryOptions) {
		this.#options = {retentionMilliseconds: defaultRetentionMilliseconds, ...options};
		this.#stoppingRetentionMilliseconds = 2 * this.#options.retentionMilliseconds;
	}

	/** The number of the last change. */
	get cursor(): number {
		return this.#changes.cursor;
	}

	/** All servers in the directory. */
	get records(): readonly ServerRecord[] {
		return [...this.#servers.values()].map(({record}) => record);
	}

	/**
	Returns the record of a server.

	@param server The server.
	@returns The record; undefined if the server is unknown.
	*/
	recordOf(server: ServerId): ServerRecord | undefined {
		return this.#servers.get(server)?.record;
	}

	/**
	Applies an announcement received from the server or from another control instance.

	@param record The announced record.
	@param now The current time in milliseconds on the monotonic clock.
	@returns The records whose state or silence changed: that of the server, and those of servers that it replaced.
	*/
	announce(record: ServerRecord, now: number): readonly ServerRecord[] {
		const entry = this.#servers.get(record.id);
		if (entry === undefined) {
			return this.#addProcess({...record, state: this.#endedUnknown.has(record.id) ? 'gone' : record.state}, now);
		}

		const order = compareStartTimes(record, entry.record);
		if (order > 0) {
			return this.#addProcess(record, now);
		}

		return order === 0 ? this.#update(entry, record, now) : [];
	}

	/**
	Restores the records of a previous run, except those of servers that are already known.

	@param records The records.
	@param options `now`: the current time in milliseconds on the monotonic clock; `graceMilliseconds`: the time within which a server must announce itself before it is considered silent.
	@returns The records that were added.
	*/
	restore(records: readonly ServerRecord[], {now, graceMilliseconds}: {readonly now: number; readonly graceMilliseconds: number}): readonly ServerRecord[] {
		const lastHeardAt = now + graceMilliseconds - this.#options.silentMilliseconds;
		const unknown = records.filter(({id}) => !this.#servers.has(id) && !this.#endedUnknown.has(id));
		return unknown.map(record => this.#insert(record, {lastHeardAt, now, isRestored: true}));
	}

	/**
	Marks restored servers as silent if another instance does not list them: they may have stopped, and their records been removed there, while this instance was not running.

	@param listed The records of the other instance.
	@returns The records that were marked silent.
	*/
	silenceUnconfirmed(listed: readonly ServerRecord[]): readonly ServerRecord[] {
		const ids = new Set(listed.map(({id}) => id));
		const unconfirmed: ServerRecord[] = [];
		for (const [id, entry] of this.#servers) {
			if (entry.isRestored && !ids.has(id) && !entry.record.isSilent && entry.endedAt === undefined) {
				unconfirmed.push(this.#setSilent(entry));
			}
		}

		return unconfirmed;
	}

	/**
	Records that a server has stopped, even if the server is unknown.

	@param server The server.
	@param now The current time in milliseconds on the monotonic clock.
	@returns The record if it changed.
	*/
	markEnded(server: ServerId, now: number): ServerRecord | undefined {
		const entry = this.#servers.get(server);
		if (entry === undefined) {
			this.#endedUnknown.set(server, now);
			return undefined;
		}

		if (entry.record.state === 'gone') {
			return undefined;
		}

		return this.#setEnded(entry, now);
	}

	/**
	Marks servers that have become silent, and removes expired ones.

	@param now The current time in milliseconds on the monotonic clock.
	@returns The records that were marked silent.
	*/
	sweep(now: number): readonly ServerRecord[] {
		const {silentMilliseconds, retentionMilliseconds} = this.#options;
		const silenced: ServerRecord[] = [];
		for (const [id, at] of this.#endedUnknown) {
			if (now - at >= this.#stoppingRetentionMilliseconds) {
				this.#endedUnknown.delete(id);
			}
		}

		for (const entry of this.#servers.values()) {
			const elapsed = now - entry.lastHeardAt;
			const retention = entry.record.state === 'ready' ? retentionMilliseconds : this.#stoppingRetentionMilliseconds;
			if (now - (entry.endedAt ?? entry.lastHeardAt) >= retention) {
				this.#remove(entry.record);
				continue;
			}

			if (elapsed >= silentMilliseconds && !entry.record.isSilent && entry.endedAt === undefined) {
				silenced.push(this.#setSilent(entry));
			}
		}

		return silenced;
	}

	/**
	Adds to a record how much longer its server is cold.

	@param record A record of this directory.
	@param now The current time in milliseconds on the monotonic clock.
	@returns The record to send.
	*/
	withColdTime(record: ServerRecord, now: number): ServerRecord {
		const remaining = this.#servers.get(record.id)?.cold.remaining(now) ?? 0;
		return remaining === 0 && record.coldRemaining === undefined ? record : {...record, coldRemaining: remaining};
	}

	/**
	Lists the ready servers that are cold.

	@param now The current time in milliseconds on the monotonic clock.
	@returns The records.
	*/
	coldServers(now: number): readonly ServerRecord[] {
		const records: ServerRecord[] = [];
		for (const id of this.#cold) {
			const entry = this.#servers.get(id);
			if (entry === undefined || entry.cold.remaining(now) === 0) {
				this.#cold.delete(id);
			} else if (entry.record.state === 'ready') {
				records.push(entry.record);
			}
		}

		return records;
	}

	/**
	Treats the servers of a zone as cold until they announce otherwise.

	@param zone The zone.
	@param periodOf Returns the period for a server.
	*/
	requireCold(zone: ZoneId, periodOf: (record: ServerRecord) => RequiredColdPeriod): void {
		for (const entry of this.#servers.values()) {
			if (entry.record.zone === zone && entry.record.state === 'ready') {
				entry.cold.require(periodOf(entry.record));
				this.#cold.add(entry.record.id);
				this.#changes.record(entry.record.id);
			}
		}
	}

	/**
	Lists the servers that changed after a cursor.

	@param cursor The cursor; 0 lists all servers.
	@returns The records.
	*/
	changedSince(cursor: number): readonly ServerRecord[] {
		return this.#changes.since(cursor).map(id => this.#servers.get(id)!.record);
	}

	/** Adds a process that was not known, and marks the processes that it replaced at its address as stopped. */
	#addProcess(record: ServerRecord, now: number): readonly ServerRecord[] {
		const isReplaced = this.#serversAt(record).some(other => hasReplaced(other.record, record));
		const joined = this.#insert(isReplaced ? {...record, state: 'gone'} : record, {lastHeardAt: now, now});
		const ended: ServerRecord[] = [];
		for (const entry of this.#serversAt(joined)) {
			if (entry.record.state !== 'gone' && hasReplaced(joined, entry.record)) {
				ended.push(this.#setEnded(entry, now));
			}
		}

		return [joined, ...ended];
	}

	/** Applies an announcement of a known process. */
	#update(entry: DirectoryEntry, record: ServerRecord, now: number): readonly ServerRecord[] {
		const {record: previous} = entry;
		const isNewer = record.sequence > previous.sequence;
		const merged = {...mergeServerRecord(previous, record), isSilent: previous.isSilent && !isNewer};
		const coldBefore = entry.cold.remaining(now);
		entry.cold.apply(record, now);
		const isColdChanged = Math.abs(entry.cold.remaining(now) - coldBefore) > coldToleranceMilliseconds;
		const isChanged = previous.state !== merged.state || previous.isSilent !== merged.isSilent || isColdChanged;
		this.#addresses.replace(previous, merged);
		entry.record = merged;
		this.#noteCold(entry, now);
		if (merged.state === 'gone') {
			entry.endedAt ??= now;
		}

		if (isNewer) {
			entry.lastHeardAt = now;
			entry.isRestored = false;
		}

		if (isChanged) {
			this.#changes.record(entry.record.id);
		}

		return isChanged ? [merged] : [];
	}

	#setSilent(entry: DirectoryEntry): ServerRecord {
		entry.record = {...entry.record, isSilent: true};
		this.#changes.record(entry.record.id);
		return entry.record;
	}

	#setEnded(entry: DirectoryEntry, now: number): ServerRecord {
		entry.record = {...entry.record, state: 'gone'};
		entry.endedAt = now;
		this.#changes.record(entry.record.id);
		return entry.record;
	}

	#insert(record: ServerRecord, {lastHeardAt, now, isRestored = false}: AddOptions): ServerRecord {
		this.#addresses.replace(this.#servers.get(record.id)?.record, record);
		const entry: DirectoryEntry = {
			record, lastHeardAt, endedAt: record.state === 'gone' ? now : undefined, isRestored, cold: new ColdPeriod(record, now),
		};
		this.#servers.set(record.id, entry);
		this.#noteCold(entry, now);
		this.#changes.record(record.id);
		return record;
	}

	#remove(record: ServerRecord): void {
		this.#servers.delete(record.id);
		this.#addresses.remove(record);
		this.#changes.forget(record.id);
	}

	#noteCold({record, cold}: DirectoryEntry, now: number): void {
		if (cold.remaining(now) > 0) {
			this.#cold.add(record.id);
		}
	}

	#serversAt(record: ServerRecord): readonly DirectoryEntry[] {
		return this.#addresses.at(record).map(id => this.#servers.get(id)!);
	}
}
