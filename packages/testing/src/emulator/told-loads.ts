import {type ServerId, toId} from '@valehitch/core';
import {type EntryServers, type KnownEntry, nearEntriesOf} from '@valehitch/gateway';
import {type EmulatedEntry} from './emulated-entry.js';

type Told = ReadonlyMap<ServerId, number>;

/**
The work at each server as the entry instances told it last, all at the same moment.

@example
```ts
const told = new ToldLoads(entries, 'near');
told.tell();
told.othersOn(server, servers);
```
*/
export class ToldLoads {
	readonly #entries: ReadonlyMap<EntryServers, EmulatedEntry>;
	/** The other instances whose loads each instance is told. */
	readonly #tellers = new Map<EntryServers, readonly EntryServers[]>();
	#sums = new Map<EntryServers, Told>();

	/**
	@param entries The entry instances.
	@param known Whose loads an instance is told: those of the instances near it, as the product does, or those of all.
	*/
	constructor(entries: readonly EmulatedEntry[], known: 'near' | 'all') {
		this.#entries = new Map(entries.map(entry => [entry.servers, entry]));
		const names = entries.map(({zone}, index): KnownEntry => ({instance: toId(`entry-${String(index).padStart(4, '0')}`), zone}));
		const byName = new Map(names.map(({instance}, index) => [instance, entries[index]!.servers]));
		for (const [index, {servers}] of entries.entries()) {
			const tellers = known === 'all' ? names.filter((_, other) => other !== index).map(({instance}) => instance) : nearEntriesOf(names[index]!, names);
			this.#tellers.set(servers, tellers.map(name => byName.get(name)!));
		}
	}

	/** Takes the loads as they are now. */
	tell(): void {
		const own = new Map<EntryServers, Told>();
		for (const servers of this.#entries.keys()) {
			own.set(servers, new Map(servers.loads));
		}

		this.#sums = new Map();
		for (const [servers, tellers] of this.#tellers) {
			this.#sums.set(servers, sumOf(tellers.map(teller => own.get(teller)!)));
		}
	}

	/**
	The work of other instances at a server.

	@param server The server.
	@param servers Those of the instance that asks.
	@returns The sum of what the others told it.
	*/
	othersOn(server: ServerId, servers: EntryServers): number {
		return this.#sums.get(servers)?.get(server) ?? 0;
	}
}

function sumOf(all: readonly Told[]): Told {
	const sum = new Map<ServerId, number>();
	for (const told of all) {
		for (const [server, work] of told) {
			sum.set(server, (sum.get(server) ?? 0) + work);
		}
	}

	return sum;
}
