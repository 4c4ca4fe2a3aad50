/** What a queue hands out. */
export type SummaryQueueOptions = {
	/** The most items that are kept; the oldest is dropped. */
	readonly capacity: number;
};

/**
The things that changed since they were last sent, and in turn those that did not, so that what was lost on the way is sent again.

@example
```ts
queue.touch('yard/lookup', key);
queue.take(6);
```
*/
export class SummaryQueue<Item> {
	readonly #capacity: number;
	readonly #changed = new Map<string, Item>();
	readonly #rest = new Map<string, Item>();

	constructor({capacity}: SummaryQueueOptions) {
		this.#capacity = capacity;
	}

	/**
	Notes a change.

	@param key What changed.
	@param item What is handed out for it.
	*/
	touch(key: string, item: Item): void {
		this.#rest.delete(key);
		this.#changed.set(key, item);
		this.#shrink();
	}

	/**
	Notes something without calling it changed, unless it is new.

	@param key The thing.
	@param item What is handed out for it.
	*/
	use(key: string, item: Item): void {
		if (!this.#rest.has(key) && !this.#changed.has(key)) {
			this.touch(key, item);
		}
	}

	/**
	Takes what is to be sent next.

	@param most How many at most; those that did not change get one place, or more where nothing changed.
	@returns The items.
	*/
	take(most: number): readonly Item[] {
		const taken = [...firstOf(this.#rest, 1), ...firstOf(this.#changed, most - 1)];
		for (const [key, item] of taken) {
			this.#changed.delete(key);
			this.#rest.delete(key);
			this.#rest.set(key, item);
		}

		return taken.map(([, item]) => item);
	}

	#shrink(): void {
		const over = this.#rest.size + this.#changed.size - this.#capacity;
		const oldest = [...firstOf(this.#rest, over), ...firstOf(this.#changed, over - this.#rest.size)];
		for (const [key] of oldest) {
			this.#rest.delete(key);
			this.#changed.delete(key);
		}
	}
}

function firstOf<Item>(items: ReadonlyMap<string, Item>, most: number): ReadonlyArray<[string, Item]> {
	const first: Array<[string, Item]> = [];
	for (const entry of items) {
		if (first.length >= most) {
			break;
		}

		first.push(entry);
	}

	return first;
}
