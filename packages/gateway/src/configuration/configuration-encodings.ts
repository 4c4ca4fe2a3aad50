import {type ConfigurationDocument} from '../control/gateway-state.js';
import {DocumentHistory} from './document-history.js';
import {encodeConfiguration, type EncodedConfiguration} from './encode-configuration.js';

/** The number of earlier versions from which changes are described; one that an entry instance holds for longer gets the whole document. */
const historyCount = 16;
const historyCharacters = 16 * 1024 * 1024;

/**
The newest configuration, encoded once for all entry instances that hold the same earlier version. It answers a burst of changes of a large configuration: each costs a link the records that changed, rather than the document.

@example
```ts
const encodings = new ConfigurationEncodings();
encodings.record(document);
encodings.since(watch.configurationVersion);
```
*/
export class ConfigurationEncodings {
	readonly #history = new DocumentHistory({maximumCount: historyCount, maximumCharacters: historyCharacters});
	readonly #byBase = new Map<number | undefined, EncodedConfiguration>();

	/**
	Records the newest configuration.

	@param document The configuration; undefined before the first one.
	*/
	record(document: ConfigurationDocument | undefined): void {
		if (document !== undefined && this.#history.record(document)) {
			this.#byBase.clear();
		}
	}

	/**
	Returns the newest configuration for an entry instance.

	@param held The version that the instance holds; undefined if it holds none.
	@returns The encoded configuration; undefined if the instance holds it, or before the first one.
	*/
	since(held: number | undefined): EncodedConfiguration | undefined {
		const {newest} = this.#history;
		if (newest === undefined || (held !== undefined && held >= newest.version)) {
			return undefined;
		}

		const base = this.#history.ofVersion(held);
		const encoded = this.#byBase.get(base?.version) ?? encodeConfiguration(newest, base);
		this.#byBase.set(base?.version, encoded);
		return encoded;
	}
}
