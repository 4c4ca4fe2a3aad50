import {type ConfigurationDocument} from '../control/gateway-state.js';

/** Options of {@linkcode DocumentHistory}. */
export type DocumentHistoryOptions = {
	/** The most documents that are kept. */
	readonly maximumCount: number;
	/** The most characters of all documents but the newest; the oldest ones are dropped above it. */
	readonly maximumCharacters: number;
};

/**
The latest configuration documents by version, against which changes are described.

@example
```ts
const history = new DocumentHistory({maximumCount: 16, maximumCharacters: 16_777_216});
history.record(document);
history.ofVersion(7);
```
*/
export class DocumentHistory {
	readonly #options: DocumentHistoryOptions;
	/** Ordered by ascending version. */
	#documents: ConfigurationDocument[] = [];

	constructor(options: DocumentHistoryOptions) {
		this.#options = options;
	}

	/** The newest document; undefined before the first one. */
	get newest(): ConfigurationDocument | undefined {
		return this.#documents.at(-1);
	}

	/**
	Adds a document, unless it is not newer than the newest one.

	@param document The document.
	@returns Whether it was added.
	*/
	record(document: ConfigurationDocument): boolean {
		if (this.newest !== undefined && document.version <= this.newest.version) {
			return false;
		}

		this.#documents.push(document);
		this.#dropOldest();
		return true;
	}

	/**
	Finds a document.

	@param version Its version.
	@returns The document; undefined if it is not kept.
	*/
	ofVersion(version: number | undefined): ConfigurationDocument | undefined {
		return this.#documents.find(document => document.version === version);
	}

	#dropOldest(): void {
		const {maximumCount, maximumCharacters} = this.#options;
		const earlier = this.#documents.slice(0, -1);
		let characters = earlier.reduce((sum, {document}) => sum + document.length, 0);
		while (earlier.length >= maximumCount || characters > maximumCharacters) {
			characters -= earlier.shift()?.document.length ?? 0;
		}

		this.#documents = [...earlier, ...this.#documents.slice(-1)];
	}
}
