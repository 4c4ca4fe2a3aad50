import {type ServerId} from '@valehitch/core';
import {type EntryServers} from '@valehitch/gateway';

/**
The work at each server as the entry instances told it last, all at the same moment.

@example
```ts
const told = new ToldLoads();
told.tell(entries.map(({servers}) => servers));
told.othersOn(server, servers);
```
*/
export class ToldLoads {
	#all = new Map<ServerId, number>();
	#own = new Map<EntryServers, ReadonlyMap<ServerId, number>>();

	/**
	Takes the loads as they are now.

	@param entries The servers as each entry instance knows them.
	*/
	tell(entries: readonly EntryServers[]): void {
		this.#all = new Map();
		this.#own = new Map();
		for (const servers of entries) {
			const own = new Map(servers.loads);
			this.#own.set(servers, own);
			for (const [server, load] of own) {
				this.#all.set(server, (this.#all.get(server) ?? 0) + load);
			}
		}
	}

	/**
	The work of the other instances at a server.

	@param server The server.
	@param servers Those of the instance that asks.
	@returns The sum of what the others told.
	*/
	othersOn(server: ServerId, servers: EntryServers): number {
		return (this.#all.get(server) ?? 0) - (this.#own.get(servers)?.get(server) ?? 0);
	}
}
