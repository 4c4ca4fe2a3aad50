import {type ServerId} from '@valehitch/core';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {encodeServerRows} from '../servers/server-rows.js';

/** All servers for an entry instance that has none. */
export type FullList = {
	/** Most servers, as of a moment ago, encoded by {@linkcode encodeServerRows}. */
	readonly rows: Uint8Array;
	/** The servers that are not among the rows or have changed since. */
	readonly records: readonly ServerRecord[];
};

type EncodedList = {
	readonly rows: Uint8Array;
	/** The last change that the rows contain. */
	readonly cursor: number;
	/** The servers that were cold. Rows do not say for how long, which would differ from one moment to the next. */
	readonly cold: readonly ServerId[];
	readonly at: number;
};

/** How long an encoded list is used, in milliseconds: records also hold what is not a change, such as the numbers of announcements. */
const maximumAgeMilliseconds = 1000;

/**
The full list of servers, encoded once for all entry instances that ask for it within a second.

@example
```ts
const list = new FullServerList(directory);
list.current(now);
```
*/
export class FullServerList {
	readonly #directory: ServerDirectory;
	#encoded: EncodedList | undefined;

	/**
	@param directory The servers.
	*/
	constructor(directory: ServerDirectory) {
		this.#directory = directory;
	}

	/**
	Returns the list.

	@param now Milliseconds on the monotonic clock.
	@returns The list as of the directory's cursor.
	*/
	current(now: number): FullList {
		const {rows, cursor, cold} = this.#encodedAt(now);
		const changed = new Set(this.#directory.changedSince(cursor));
		for (const id of cold) {
			const record = this.#directory.recordOf(id);
			if (record !== undefined) {
				changed.add(record);
			}
		}

		return {rows, records: [...changed]};
	}

	#encodedAt(now: number): EncodedList {
		if (this.#encoded === undefined || now - this.#encoded.at > maximumAgeMilliseconds) {
			this.#encoded = this.#encode(now);
		}

		return this.#encoded;
	}

	#encode(now: number): EncodedList {
		const cold = new Set(this.#directory.coldServers(now).map(({id}) => id));
		const {records, cursor} = this.#directory;
		return {
			rows: encodeServerRows(records.filter(({id}) => !cold.has(id))), cursor, cold: [...cold], at: now,
		};
	}
}
