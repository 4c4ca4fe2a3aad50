/** The options of a `SummaryQueue`. */
export type SummaryQueueOptions = {
	/** The maximum number of items; when it is exceeded, the oldest are dropped. */
	readonly capacity: number;
};

/**
A queue of the items to send next: those that changed since they were last sent and, in rotation, those that did not. Resending unchanged items makes up for lost messages.

@example
```ts
queue.markChanged('yard/lookup', key);
queue.next(6);
```
*/
export class SummaryQueue<Item> {
	readonly #capacity: number;
	readonly #changed = new Map<string, Item>();
	readonly #unchanged = new Map<string, Item>();

	constructor({capacity}: SummaryQueueOptions) {
		this.#capacity = capacity;
	}

	/**
	Adds an item, or marks it as changed.

	@param key The key of the item.
	@param item The item to send.
	*/
	markChanged(key: string, item: Item): void {
		this.#unchanged.delete(key);
		this.#changed.set(key, item);
		this.#evict();
	}

	/**
	Adds an item if the queue does not contain it, without marking a known one as changed.

	@param key The key of the item.
	@param item The item to send.
	*/
	addIfAbsent(key: string, item: Item): void {
		if (!this.#unchanged.has(key) && !this.#changed.has(key)) {
			this.markChanged(key, item);
		}
	}

	/**
	Returns the items to send next and marks them as unchanged.

	@param limit The maximum number of items. One place is reserved for unchanged items; the others go to changed ones.
	@returns The items.
	*/
	next(limit: number): readonly Item[] {
		const taken = [...firstEntries(this.#unchanged, 1), ...firstEntries(this.#changed, limit - 1)];
		for (const [key, item] of taken) {
			this.#changed.delete(key);
			this.#unchanged.delete(key);
			this.#unchanged.set(key, item);
		}

		return taken.map(([, item]) => item);
	}

	#evict(): void {
		const excess = this.#unchanged.size + this.#changed.size - this.#capacity;
		const oldest = [...firstEntries(this.#unchanged, excess), ...firstEntries(this.#changed, excess - this.#unchanged.size)];
		for (const [key] of oldest) {
			this.#unchanged.delete(key);
			this.#changed.delete(key);
		}
	}
}

function firstEntries<Item>(items: ReadonlyMap<string, Item>, limit: number): ReadonlyArray<[string, Item]> {
	const first: Array<[string, Item]> = [];
	for (const entry of items) {
		if (first.length >= limit) {
			break;
		}

		first.push(entry);
	}

	return first;
}
