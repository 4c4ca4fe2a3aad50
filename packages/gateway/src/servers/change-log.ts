type Change<Key> = {
	readonly key: Key;
	readonly cursor: number;
};

/** Outdated changes are removed once there are this many more than keys. */
const maximumOutdated = 256;

/**
The order in which items last changed, so that the changes after a cursor are found without looking at all items.

@example
```ts
const changes = new ChangeLog<string>();
const cursor = changes.record('a');
changes.record('b');
changes.since(cursor); // ['b']
```
*/
export class ChangeLog<Key> {
	readonly #cursors = new Map<Key, number>();
	#changes: Array<Change<Key>> = [];
	#cursor = 0;

	/** The number of the last change. */
	get cursor(): number {
		return this.#cursor;
	}

	/**
	Records that an item has changed.

	@param key The key of the item.
	@returns The number of the change.
	*/
	record(key: Key): number {
		this.#cursor++;
		this.#cursors.set(key, this.#cursor);
		this.#changes.push({key, cursor: this.#cursor});
		if (this.#changes.length > (2 * this.#cursors.size) + maximumOutdated) {
			this.#changes = this.#changes.filter(change => this.#isLatest(change));
		}

		return this.#cursor;
	}

	/**
	Forgets an item.

	@param key The key of the item.
	*/
	forget(key: Key): void {
		this.#cursors.delete(key);
	}

	/**
	Lists the items that changed after a cursor.

	@param cursor The cursor; 0 lists all items.
	@returns The keys, each once, in the order of their last changes.
	*/
	since(cursor: number): readonly Key[] {
		const changed: Key[] = [];
		for (let index = this.#changes.length - 1; index >= 0 && this.#changes[index]!.cursor > cursor; index--) {
			const change = this.#changes[index]!;
			if (this.#isLatest(change)) {
				changed.push(change.key);
			}
		}

		return changed.toReversed();
	}

	#isLatest({key, cursor}: Change<Key>): boolean {
		return this.#cursors.get(key) === cursor;
	}
}
