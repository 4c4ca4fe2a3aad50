/**
A map that holds a bounded number of entries, the least recently used going first.

@example
```ts
const recent = new RecentMap<string, number>(2);
recent.touch('a', () => 1);
```
*/
export class RecentMap<Key, Value> {
	readonly #maximum: number;
	readonly #entries = new Map<Key, Value>();

	/**
	@param maximum The most entries that are held.
	*/
	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	/** How many entries are held. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Reads an entry without counting that as use.

	@param key The key.
	@returns The value; undefined where there is none.
	*/
	peek(key: Key): Value | undefined {
		return this.#entries.get(key);
	}

	/**
	Holds a value, as the most recently used.

	@param key The key.
	@param value The value; it replaces the one before.
	*/
	set(key: Key, value: Value): void {
		this.#entries.delete(key);
		this.#entries.set(key, value);
		const oldest = this.#entries.keys().next();
		if (this.#entries.size > this.#maximum && !oldest.done) {
			this.#entries.delete(oldest.value);
		}
	}

	/**
	Reads an entry as the most recently used, and makes it where there is none.

	@param key The key.
	@param create Makes the value.
	@returns The value.
	*/
	touch(key: Key, create: () => Value): Value {
		const value = this.#entries.get(key) ?? create();
		this.set(key, value);
		return value;
	}
}
