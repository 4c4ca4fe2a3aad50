import {type ServerId} from '@valehitch/core';
import {mergeServerRecord} from './merge-server-record.js';
import {type ServerRecord} from './server-record.js';

/** How a directory ages its servers. */
export type ServerDirectoryOptions = {
	/** The time without an announcement after which a server counts as silent, in milliseconds. */
	readonly silentMilliseconds: number;
	/** The time after which a silent or gone server is forgotten, in milliseconds; 60,000 by default. */
	readonly forgetMilliseconds?: number;
};

type Held = {
	record: ServerRecord;
	heardAt: number;
	changedAt: number;
};

const defaultForgetMilliseconds = 60_000;

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
	readonly #servers = new Map<ServerId, Held>();
	#changes = 0;

	constructor(options: ServerDirectoryOptions) {
		this.#options = {forgetMilliseconds: defaultForgetMilliseconds, ...options};
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
	@returns The record where it changed anything but the sequence number, else undefined.
	*/
	announce(record: ServerRecord, now: number): ServerRecord | undefined {
		const held = this.#servers.get(record.id);
		if (held === undefined) {
			const added = {...record, isSilent: false};
			this.#servers.set(record.id, {record: added, heardAt: now, changedAt: this.#next()});
			return added;
		}

		const {record: before} = held;
		const merged = {...mergeServerRecord(before, record), isSilent: false};
		const isChanged = before.state !== merged.state || before.isSilent;
		held.record = merged;
		if (record.sequence > before.sequence) {
			held.heardAt = now;
		}

		if (isChanged) {
			held.changedAt = this.#next();
		}

		return isChanged ? merged : undefined;
	}

	/**
	Notes that a server ended.

	@param server The server.
	@returns The record where this is new.
	*/
	remove(server: ServerId): ServerRecord | undefined {
		const held = this.#servers.get(server);
		if (held === undefined || held.record.state === 'gone') {
			return undefined;
		}

		held.record = {...held.record, state: 'gone'};
		held.changedAt = this.#next();
		return held.record;
	}

	/**
	Marks the servers that have gone silent, and forgets those that were for long.

	@param now Milliseconds on the monotonic clock.
	@returns Those that went silent now.
	*/
	sweep(now: number): readonly ServerRecord[] {
		const {silentMilliseconds, forgetMilliseconds} = this.#options;
		const silenced: ServerRecord[] = [];
		for (const [id, held] of this.#servers) {
			const silence = now - held.heardAt;
			if (silence >= forgetMilliseconds) {
				this.#servers.delete(id);
				continue;
			}

			if (silence >= silentMilliseconds && !held.record.isSilent) {
				held.record = {...held.record, isSilent: true};
				held.changedAt = this.#next();
				silenced.push(held.record);
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

	#next(): number {
		this.#changes++;
		return this.#changes;
	}
}
