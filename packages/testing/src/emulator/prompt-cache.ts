/** A segment of a prompt that other prompts may share. */
export type PromptSegment = {
	readonly id: string;
	readonly tokens: number;
};

/**
The prompt cache of an engine: prompt prefixes by model, with eviction of the least recently used segments.

@example
```ts
const cache = new PromptCache(600_000);
cache.access('large', segments); // the number of cached tokens
```
*/
export class PromptCache {
	readonly #capacity: number;
	/** The cached segments and their tokens, least recently used first. */
	readonly #segments = new Map<string, number>();
	#tokens = 0;

	/**
	@param capacity The maximum number of cached tokens.
	*/
	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** The number of cached tokens. */
	get tokens(): number {
		return this.#tokens;
	}

	/**
	Looks up the longest cached prefix of a prompt, and caches all its segments.

	@param model The model; prefixes are not shared between models.
	@param segments The segments, in prompt order.
	@returns The number of tokens in the cached prefix.
	*/
	access(model: string, segments: readonly PromptSegment[]): number {
		let cachedTokens = 0;
		let isCached = true;
		let key = model;
		for (const {id, tokens} of segments) {
			key = `${key} ${id}`;
			isCached &&= this.#segments.has(key);
			cachedTokens += isCached ? tokens : 0;
			this.#insert(key, tokens);
		}

		return cachedTokens;
	}

	#insert(key: string, tokens: number): void {
		this.#tokens += this.#segments.delete(key) ? 0 : tokens;
		this.#segments.set(key, tokens);
		for (const [oldestKey, oldestTokens] of this.#segments) {
			if (this.#tokens <= this.#capacity) {
				return;
			}

			this.#segments.delete(oldestKey);
			this.#tokens -= oldestTokens;
		}
	}
}
