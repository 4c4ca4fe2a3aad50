import {hashRange, hashString} from './zone-tree.js';

/** Joins two records with the same key. Must be commutative, associative and idempotent, and must return `known` itself if `next` adds nothing. */
export type Join<Item> = (known: Item, next: Item) => Item;

/** Options of `Digest`. */
export type DigestOptions<Item> = {
	readonly join: Join<Item>;
	/** Serializes a record. Different records must give different strings. */
	readonly serialize: (item: Item) => string;
};

type StoredRecord<Item> = {
	readonly item: Item;
	/** The number of the last change of the record on this instance. */
	readonly change: number;
	/** The peer, including its incarnation, from which the record was received. */
	readonly source: string | undefined;
	readonly hash: number;
};

/**
Replicated records, numbered by their last local change. Peers exchange the changes after a given number.

@example
```ts
digest.merge('engine-a', {item});
digest.changesSince(12, {except: 'entry-b'});
```
*/
export class Digest<Item> {
	readonly #options: DigestOptions<Item>;
	readonly #records = new Map<string, StoredRecord<Item>>();
	#change = 0;
	#hash = 0;

	constructor(options: DigestOptions<Item>) {
		this.#options = options;
	}

	/** The number of the last change. */
	get change(): number {
		return this.#change;
	}

	/** A hash over all records, independent of their order. */
	get hash(): number {
		return this.#hash;
	}

	/**
	Joins a record with the stored one.

	@param key The record's key.
	@param update The record, and the peer that sent it.
	@returns Whether the stored record changed.
	*/
	merge(key: string, {item, source}: {readonly item: Item; readonly source?: string}): boolean {
		const existing = this.#records.get(key);
		const joined = existing === undefined ? item : this.#options.join(existing.item, item);
		if (existing?.item === joined) {
			return false;
		}

		const hash = hashString(`${key}=${this.#options.serialize(joined)}`);
		this.#hash = (this.#hash + hashRange + hash - (existing?.hash ?? 0)) % hashRange;
		// Deleting first moves the entry to the end, so that the map is ordered by change number.
		this.#records.delete(key);
		this.#records.set(key, {
			item: joined, change: ++this.#change, source: joined === item ? source : undefined, hash,
		});
		return true;
	}

	/**
	Deletes a record.

	@param key The record's key.
	*/
	delete(key: string): void {
		this.#hash = (this.#hash + hashRange - (this.#records.get(key)?.hash ?? 0)) % hashRange;
		this.#records.delete(key);
	}

	/** Returns the record with a key. */
	get(key: string): Item | undefined {
		return this.#records.get(key)?.item;
	}

	/** Iterates over all records with their keys. */
	* entries(): Generator<[string, Item]> {
		for (const [key, {item}] of this.#records) {
			yield [key, item];
		}
	}

	/**
	Returns the records that changed after a change number.

	@param change The change number. 0 returns all records.
	@param options `except`: a source whose records are omitted, since it already has them.
	@returns The records with their keys.
	*/
	changesSince(change: number, options: {readonly except?: string} = {}): Array<[string, Item]> {
		if (change >= this.#change) {
			return [];
		}

		const changed: Array<[string, Item]> = [];
		for (const [key, record] of this.#records) {
			if (record.change > change && (options.except === undefined || record.source !== options.except)) {
				changed.push([key, record.item]);
			}
		}

		return changed;
	}
}
