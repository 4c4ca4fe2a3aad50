import {hashRange, hashText} from './zone-tree.js';

/** Joins two records under one key: commutative, associative and idempotent; gives `known` itself where the other brings nothing new. */
export type Join<Item> = (known: Item, next: Item) => Item;

/** What a digest needs. */
export type DigestOptions<Item> = {
	readonly join: Join<Item>;
	/** A text that differs for records that differ. */
	readonly print: (item: Item) => string;
};

type Held<Item> = {
	readonly item: Item;
	/** The number of the change that brought the record here. */
	readonly change: number;
	/** The neighbour, and its start, that it came from. */
	readonly source: string | undefined;
	readonly hash: number;
};

/**
Records with versions, and the numbers of the changes that brought them here; neighbours exchange what changed since a number.

@example
```ts
digest.merge('engine-a', {item});
digest.since(12, {except: 'entry-b'});
```
*/
export class Digest<Item> {
	readonly #options: DigestOptions<Item>;
	readonly #held = new Map<string, Held<Item>>();
	#change = 0;
	#hash = 0;

	constructor(options: DigestOptions<Item>) {
		this.#options = options;
	}

	/** The number of the last change. */
	get change(): number {
		return this.#change;
	}

	/** A hash over all records, whatever their order. */
	get hash(): number {
		return this.#hash;
	}

	/**
	Joins a record with the one that is held.

	@param key The record's key.
	@param news The record, and the neighbour that it came from.
	@returns Whether anything changed.
	*/
	merge(key: string, {item, source}: {readonly item: Item; readonly source?: string}): boolean {
		const known = this.#held.get(key);
		const joined = known === undefined ? item : this.#options.join(known.item, item);
		if (known?.item === joined) {
			return false;
		}

		const hash = hashText(`${key}=${this.#options.print(joined)}`);
		this.#hash = (this.#hash + hashRange + hash - (known?.hash ?? 0)) % hashRange;
		// Deleted first, so that the last changes stand at the end.
		this.#held.delete(key);
		this.#held.set(key, {
			item: joined, change: ++this.#change, source: joined === item ? source : undefined, hash,
		});
		return true;
	}

	/**
	Forgets a record.

	@param key The record's key.
	*/
	forget(key: string): void {
		this.#hash = (this.#hash + hashRange - (this.#held.get(key)?.hash ?? 0)) % hashRange;
		this.#held.delete(key);
	}

	/** The record under a key. */
	get(key: string): Item | undefined {
		return this.#held.get(key)?.item;
	}

	/** All records with their keys. */
	* entries(): Generator<[string, Item]> {
		for (const [key, {item}] of this.#held) {
			yield [key, item];
		}
	}

	/**
	The records that changed after a change.

	@param change The number of the change; 0 gives all.
	@param options `except`: a source whose records are left out, since it holds them.
	@returns The records with their keys.
	*/
	since(change: number, options: {readonly except?: string} = {}): Array<[string, Item]> {
		if (change >= this.#change) {
			return [];
		}

		const changed: Array<[string, Item]> = [];
		for (const [key, held] of this.#held) {
			if (held.change > change && (options.except === undefined || held.source !== options.except)) {
				changed.push([key, held.item]);
			}
		}

		return changed;
	}
}
