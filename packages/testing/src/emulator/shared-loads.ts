import {type ServerId, toId} from '@valehitch/core';
import {type EntryServers, type ActiveEntry, selectLoadSharingPeers} from '@valehitch/gateway';
import {type EmulatedEntry} from './emulated-entry.js';

type PublishedLoads = ReadonlyMap<ServerId, number>;

/**
The load of each server as last published by the entry instances, which publish all at the same time.

@example
```ts
const sharedLoads = new SharedLoads(entries, 'near');
sharedLoads.publish();
sharedLoads.peerLoadAt(server, servers);
```
*/
export class SharedLoads {
	readonly #entries: ReadonlyMap<EntryServers, EmulatedEntry>;
	/** The other instances whose loads each instance receives. */
	readonly #sources = new Map<EntryServers, readonly EntryServers[]>();
	#peerLoads = new Map<EntryServers, PublishedLoads>();

	/**
	@param entries The entry instances.
	@param known The instances whose loads an instance receives: its load-sharing peers, as in the product, or all others.
	*/
	constructor(entries: readonly EmulatedEntry[], known: 'near' | 'all') {
		this.#entries = new Map(entries.map(entry => [entry.servers, entry]));
		const names = entries.map(({zone}, index): ActiveEntry => ({instance: toId(`entry-${String(index).padStart(4, '0')}`), zone}));
		const byName = new Map(names.map(({instance}, index) => [instance, entries[index]!.servers]));
		for (const [index, {servers}] of entries.entries()) {
			const sources = known === 'all' ? names.filter((_, other) => other !== index).map(({instance}) => instance) : selectLoadSharingPeers(names[index]!, names);
			this.#sources.set(servers, sources.map(name => byName.get(name)!));
		}
	}

	/** Publishes the current loads. */
	publish(): void {
		const loadsByEntry = new Map<EntryServers, PublishedLoads>();
		for (const servers of this.#entries.keys()) {
			loadsByEntry.set(servers, new Map(servers.loads));
		}

		this.#peerLoads = new Map();
		for (const [servers, sources] of this.#sources) {
			this.#peerLoads.set(servers, sumOf(sources.map(source => loadsByEntry.get(source)!)));
		}
	}

	/**
	Returns the load that other instances last published for a server.

	@param server The server.
	@param servers The servers of the instance that asks.
	@returns The sum of the loads published to that instance.
	*/
	peerLoadAt(server: ServerId, servers: EntryServers): number {
		return this.#peerLoads.get(servers)?.get(server) ?? 0;
	}
}

function sumOf(all: readonly PublishedLoads[]): PublishedLoads {
	const sum = new Map<ServerId, number>();
	for (const loads of all) {
		for (const [server, load] of loads) {
			sum.set(server, (sum.get(server) ?? 0) + load);
		}
	}

	return sum;
}
