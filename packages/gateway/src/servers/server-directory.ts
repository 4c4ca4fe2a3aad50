import {type ServerId} from '@valehitch/core';
import {compareStarts} from './compare-starts.js';
import {hasReplaced} from './has-replaced.js';
import {mergeServerRecord} from './merge-server-record.js';
import {type ServerRecord} from './server-record.js';

/** How a directory ages its servers. */
export type ServerDirectoryOptions = {
	/** The time without an announcement after which a server counts as silent, in milliseconds. */
	readonly silentMilliseconds: number;
	/** The time after which a silent server is forgotten, in milliseconds; an ended one is after twice as long. 180,000 by default. */
	readonly forgetMilliseconds?: number;
};

type Held = {
	record: ServerRecord;
	heardAt: number;
	changedAt: number;
	/** When its end was learned; undefined while it runs. */
	endedAt: number | undefined;
	/** Whether it is known from an earlier run only. */
	isRestored: boolean;
};

type AddOptions = {
	readonly heardAt: number;
	readonly now: number;
	readonly isRestored?: boolean;
};

/** How long a control instance holds a server that it no longer hears, in milliseconds. */
export const defaultForgetMilliseconds = 180_000;

/**
The backend servers that announced themselves to any control instance, with a counter of changes from which others read what is new.

@example
```ts
const directory = new ServerDirectory({silentMilliseconds: 6000});
directory.announce(record, now);
directory.changedSince(0);
```
*/
export class ServerDirectory {
	readonly #options: Required<ServerDirectoryOptions>;
	/** The end of a server is held for longer than an instance that missed it holds the server. */
	readonly #forgetEndedMilliseconds: number;
	readonly #servers = new Map<ServerId, Held>();
	/** When servers ended that were not known, in milliseconds on the monotonic clock: a late announcement must not bring them back. */
	readonly #ended = new Map<ServerId, number>();
	#changes = 0;

	constructor(options: ServerDirectoryOptions) {
		this.#options = {forgetMilliseconds: defaultForgetMilliseconds, ...options};
		this.#forgetEndedMilliseconds = 2 * this.#options.forgetMilliseconds;
	}

	/** The number of the last change. */
	get cursor(): number {
		return this.#changes;
	}

	/** All servers that are held. */
	get records(): readonly ServerRecord[] {
		return [...this.#servers.values()].map(({record}) => record);
	}

	/**
	Takes an announcement, direct or passed on.

	@param record What the server said.
	@param now Milliseconds on the monotonic clock.
	@returns The records that changed in anything but the sequence number: that of the server, and those of servers that it replaced.
	*/
	announce(record: ServerRecord, now: number): readonly ServerRecord[] {
		const held = this.#servers.get(record.id);
		if (held === undefined) {
			return this.#join({...record, state: this.#ended.has(record.id) ? 'gone' : record.state}, now);
		}

		const order = compareStarts(record, held.record);
		if (order > 0) {
			return this.#join(record, now);
		}

		return order === 0 ? this.#update(held, record, now) : [];
	}

	/**
	Takes the records that an earlier run held; those that are known by now stay as they are.

	@param records The records.
	@param options `now`: milliseconds on the monotonic clock; `graceMilliseconds`: the time within which a server must announce itself to stay.
	@returns Those that were added.
	*/
	restore(records: readonly ServerRecord[], {now, graceMilliseconds}: {readonly now: number; readonly graceMilliseconds: number}): readonly ServerRecord[] {
		const heardAt = now + graceMilliseconds - this.#options.silentMilliseconds;
		const unknown = records.filter(({id}) => !this.#servers.has(id) && !this.#ended.has(id));
		return unknown.map(record => this.#add(record, {heardAt, now, isRestored: true}));
	}

	/**
	Takes restored servers for silent that another instance does not list: they may have left, and their end been forgotten, while this one did not run.

	@param listed What the other instance has.
	@returns Those that count as silent from now on.
	*/
	doubtRestored(listed: readonly ServerRecord[]): readonly ServerRecord[] {
		const ids = new Set(listed.map(({id}) => id));
		const doubted: ServerRecord[] = [];
		for (const [id, held] of this.#servers) {
			if (held.isRestored && !ids.has(id) && !held.record.isSilent && held.endedAt === undefined) {
				doubted.push(this.#silence(held));
			}
		}

		return doubted;
	}

	/**
	Notes that a server ended, also one that is not known.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns The record where this is new.
	*/
	remove(server: ServerId, now: number): ServerRecord | undefined {
		const held = this.#servers.get(server);
		if (held === undefined) {
			this.#ended.set(server, now);
			return undefined;
		}

		if (held.record.state === 'gone') {
			return undefined;
		}

		return this.#end(held, now);
	}

	/**
	Marks the servers that have gone silent, and forgets those that were for long.

	@param now Milliseconds on the monotonic clock.
	@returns Those that went silent now.
	*/
	sweep(now: number): readonly ServerRecord[] {
		const {silentMilliseconds, forgetMilliseconds} = this.#options;
		const silenced: ServerRecord[] = [];
		for (const [id, at] of this.#ended) {
			if (now - at >= this.#forgetEndedMilliseconds) {
				this.#ended.delete(id);
			}
		}

		for (const [id, held] of this.#servers) {
			const silence = now - held.heardAt;
			const isOver = held.endedAt === undefined ? silence >= forgetMilliseconds : now - held.endedAt >= this.#forgetEndedMilliseconds;
			if (isOver) {
				this.#servers.delete(id);
				continue;
			}

			if (silence >= silentMilliseconds && !held.record.isSilent && held.endedAt === undefined) {
				silenced.push(this.#silence(held));
			}
		}

		return silenced;
	}

	/**
	The servers that changed after a point.

	@param cursor The point, 0 for all.
	@returns The records.
	*/
	changedSince(cursor: number): readonly ServerRecord[] {
		const changed: ServerRecord[] = [];
		for (const {record, changedAt} of this.#servers.values()) {
			if (changedAt > cursor) {
				changed.push(record);
			}
		}

		return changed;
	}

	/** Takes a process that was not known, and ends those whose address it has. */
	#join(record: ServerRecord, now: number): readonly ServerRecord[] {
		const isReplaced = this.records.some(other => hasReplaced(other, record));
		const joined = this.#add(isReplaced ? {...record, state: 'gone'} : record, {heardAt: now, now});
		const ended: ServerRecord[] = [];
		for (const held of this.#servers.values()) {
			if (held.record.state !== 'gone' && hasReplaced(joined, held.record)) {
				ended.push(this.#end(held, now));
			}
		}

		return [joined, ...ended];
	}

	/** Takes a further announcement of a process that is known. */
	#update(held: Held, record: ServerRecord, now: number): readonly ServerRecord[] {
		const {record: before} = held;
		const isNews = record.sequence > before.sequence;
		const merged = {...mergeServerRecord(before, record), isSilent: before.isSilent && !isNews};
		const isChanged = before.state !== merged.state || before.isSilent !== merged.isSilent;
		held.record = merged;
		if (merged.state === 'gone') {
			held.endedAt ??= now;
		}

		if (isNews) {
			held.heardAt = now;
			held.isRestored = false;
		}

		if (isChanged) {
			held.changedAt = this.#next();
		}

		return isChanged ? [merged] : [];
	}

	#silence(held: Held): ServerRecord {
		held.record = {...held.record, isSilent: true};
		held.changedAt = this.#next();
		return held.record;
	}

	#end(held: Held, now: number): ServerRecord {
		held.record = {...held.record, state: 'gone'};
		held.endedAt = now;
		held.changedAt = this.#next();
		return held.record;
	}

	#add(record: ServerRecord, {heardAt, now, isRestored = false}: AddOptions): ServerRecord {
		const endedAt = record.state === 'gone' ? now : undefined;
		this.#servers.set(record.id, {
			record, heardAt, changedAt: this.#next(), endedAt, isRestored,
		});
		return record;
	}

	#next(): number {
		this.#changes++;
		return this.#changes;
	}
}
