import {type InstanceId} from '@valehitch/core';
import {RelayRanking} from '@valehitch/routing';
import {type ActiveEntry} from './select-load-sharing-peers.js';

/** The entry instances through which an entry instance can reach servers, and the revision from which the list is. */
export type RelayList = {
	readonly revision: number;
	readonly relays: readonly InstanceId[];
	/** Those of the relays that reach no server of some service themselves. */
	readonly cutOffRelays: readonly InstanceId[];
};

/**
The lists of relays of all entry instances. A list is computed when it is asked for, and kept until an entry instance comes, goes, loses its links to servers or gets them back.

@example
```ts
const lists = new RelayLists();
lists.recordLinks(instance, {isCutOff: true});
lists.listFor(entry, entries);
```
*/
export class RelayLists {
	readonly #cutOff = new Set<InstanceId>();
	readonly #lists = new Map<InstanceId, RelayList>();
	#entries: readonly ActiveEntry[] = [];
	#ranking: RelayRanking | undefined;
	#revision = 0;

	/**
	Records what an entry instance says of its links to servers.

	@param instance The instance.
	@param links Whether it reaches no server of some service.
	*/
	recordLinks(instance: InstanceId, {isCutOff}: {readonly isCutOff: boolean}): void {
		if (isCutOff === this.#cutOff.has(instance)) {
			return;
		}

		if (isCutOff) {
			this.#cutOff.add(instance);
		} else {
			this.#cutOff.delete(instance);
		}

		this.#invalidate();
	}

	/**
	Forgets what an entry instance has said of its links.

	@param instance The instance, which is gone.
	*/
	forget(instance: InstanceId): void {
		this.#cutOff.delete(instance);
	}

	/**
	Returns the relays of an entry instance.

	@param entry The instance.
	@param entries All entry instances; the same array until one is added or removed.
	@returns The relays.
	*/
	listFor(entry: ActiveEntry, entries: readonly ActiveEntry[]): RelayList {
		if (entries !== this.#entries) {
			this.#entries = entries;
			this.#invalidate();
		}

		const known = this.#lists.get(entry.instance);
		if (known !== undefined) {
			return known;
		}

		this.#ranking ??= new RelayRanking(entries.map(({instance, zone}) => ({instance, zone, isCutOff: this.#cutOff.has(instance)})));
		const relays = this.#ranking.select(entry);
		const list = {revision: this.#revision, relays, cutOffRelays: relays.filter(relay => this.#cutOff.has(relay))};
		this.#lists.set(entry.instance, list);
		return list;
	}

	#invalidate(): void {
		this.#revision++;
		this.#ranking = undefined;
		this.#lists.clear();
	}
}
