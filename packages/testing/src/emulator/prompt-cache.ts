/** A part of a prompt that other prompts may have too. */
export type EmulatedPart = {
	readonly id: string;
	readonly tokens: number;
};

/**
The parts of prompts that an engine keeps, by model, the least recently used going first.

@example
```ts
const cache = new PromptCache(600_000);
cache.read('large', parts); // the tokens that were kept
```
*/
export class PromptCache {
	readonly #capacity: number;
	/** In the order of their last use. */
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	/**
	@param capacity The most tokens that are kept.
	*/
	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** The tokens that are kept. */
	get tokens(): number {
		return this.#tokens;
	}

	/**
	Uses the beginning of a prompt: what was kept of it, up to the first part that was not, need not be read again.

	@param model The model; each has a cache of its own.
	@param parts The parts, in the order of the prompt.
	@returns The tokens that were kept.
	*/
	read(model: string, parts: readonly EmulatedPart[]): number {
		let kept = 0;
		let isKept = true;
		let key = model;
		for (const {id, tokens} of parts) {
			key = `${key} ${id}`;
			isKept &&= this.#parts.has(key);
			kept += isKept ? tokens : 0;
			this.#keep(key, tokens);
		}

		return kept;
	}

	#keep(key: string, tokens: number): void {
		this.#tokens += this.#parts.delete(key) ? 0 : tokens;
		this.#parts.set(key, tokens);
		for (const [oldest, oldestTokens] of this.#parts) {
			if (this.#tokens <= this.#capacity) {
				return;
			}

			this.#parts.delete(oldest);
			this.#tokens -= oldestTokens;
		}
	}
}
