import {type ServerId} from '@valehitch/core';
import {type ServerRecord} from './server-record.js';

type AddressedServer = Pick<ServerRecord, 'id' | 'host' | 'port'>;

/**
The servers by address, so that those which a server may have replaced are found without looking at all.

@example
```ts
const addresses = new ServerAddresses();
addresses.add(record);
addresses.at(record); // [record.id]
```
*/
export class ServerAddresses {
	readonly #servers = new Map<string, Set<ServerId>>();

	/**
	Adds a server.

	@param server The server.
	*/
	add(server: AddressedServer): void {
		const key = keyOf(server);
		const ids = this.#servers.get(key) ?? new Set();
		this.#servers.set(key, ids.add(server.id));
	}

	/**
	Removes a server.

	@param server The server, with the address at which it was added.
	*/
	remove(server: AddressedServer): void {
		const key = keyOf(server);
		const ids = this.#servers.get(key);
		ids?.delete(server.id);
		if (ids?.size === 0) {
			this.#servers.delete(key);
		}
	}

	/**
	Moves a server whose address may have changed.

	@param previous The server at its previous address; undefined if it is new.
	@param current The server at its current address.
	*/
	replace(previous: AddressedServer | undefined, current: AddressedServer): void {
		if (previous !== undefined && keyOf(previous) === keyOf(current)) {
			return;
		}

		if (previous !== undefined) {
			this.remove(previous);
		}

		this.add(current);
	}

	/**
	Lists the servers at an address.

	@param address The address.
	@returns The ids of the servers.
	*/
	at(address: Pick<ServerRecord, 'host' | 'port'>): readonly ServerId[] {
		return [...this.#servers.get(keyOf(address)) ?? []];
	}
}

function keyOf({host, port}: Pick<ServerRecord, 'host' | 'port'>): string {
	return `${host}:${port}`;
}
