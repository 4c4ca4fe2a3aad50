/**
A map of bounded size that evicts the least recently used entry.

@example
```ts
const cache = new LruMap<string, number>(2);
cache.getOrCreate('a', () => 1);
```
*/
export class LruMap<Key, Value> {
	readonly #maximumSize: number;
	readonly #entries = new Map<Key, Value>();

	/**
	@param maximumSize The maximum number of entries.
	*/
	constructor(maximumSize: number) {
		this.#maximumSize = maximumSize;
	}

	/** The number of entries. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Returns an entry without counting this as use.

	@param key The key.
	@returns The value, or undefined if there is none.
	*/
	peek(key: Key): Value | undefined {
		return this.#entries.get(key);
	}

	/**
	Sets an entry and marks it as the most recently used.

	@param key The key.
	@param value The value, which replaces any previous one.
	*/
	set(key: Key, value: Value): void {
		this.#entries.delete(key);
		this.#entries.set(key, value);
		const oldest = this.#entries.keys().next();
		if (this.#entries.size > this.#maximumSize && !oldest.done) {
			this.#entries.delete(oldest.value);
		}
	}

	/**
	Returns an entry, creating it if there is none, and marks it as the most recently used.

	@param key The key.
	@param create Creates the value.
	@returns The value.
	*/
	getOrCreate(key: Key, create: () => Value): Value {
		const value = this.#entries.get(key) ?? create();
		this.set(key, value);
		return value;
	}
}
