/** The weight of the newest time in the mean. */
const weight = 0.1;

/**
Mean times to the first byte, by what they depend on.

@example
```ts
const book = new LatencyBook();
book.note('route-1 large', 640);
book.expected('route-1 large', 500);
```
*/
export class LatencyBook {
	readonly #means = new Map<string, number>();

	/**
	Takes a time.

	@param key What it depends on.
	@param milliseconds The time.
	*/
	note(key: string, milliseconds: number): void {
		const mean = this.#means.get(key) ?? milliseconds;
		this.#means.set(key, mean + (weight * (milliseconds - mean)));
	}

	/**
	The mean time.

	@param key What it depends on.
	@param fallback The time where none was seen, in milliseconds.
	@returns Milliseconds.
	*/
	expected(key: string, fallback: number): number {
		return this.#means.get(key) ?? fallback;
	}
}
