import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** A range of loopback addresses that no other deployment of the machine has. */
export type ReservedNetwork = {
	/** The first three numbers of its addresses, such as `127.10.0`. */
	readonly prefix: string;
	/** Gives it back. */
	readonly release: () => void;
};

const firstNetwork = 10;
const networks = 240 * 250;
const networksEach = 250;
/** No process of a deployment has this address. */
const guardAddress = 254;
const guardPort = 8228;

/**
Reserves loopback addresses for a deployment whose processes all have the same ports.

A listener on one of the addresses holds them until they are given back or this process ends: addresses that follow from a process id are met twice where two ids are a multiple of the range apart.

@returns The network.
@throws If none is free.
@example
```ts
const {prefix, release} = await reserveNetwork();
```
*/
export async function reserveNetwork(): Promise<ReservedNetwork> {
	const start = randomInt(networks);
	for (let offset = 0; offset < networks; offset++) {
		const index = (start + offset) % networks;
		const prefix = `127.${firstNetwork + Math.floor(index / networksEach)}.${index % networksEach}`;
		const guard = await listenOn(`${prefix}.${guardAddress}`);
		if (guard !== undefined) {
			guard.unref();
			return {
				prefix, release() {
					guard.close();
				},
			};
		}
	}

	throw new Error(`Got no free network of ${networks}, wanted one`);
}

async function listenOn(address: string): Promise<Server | undefined> {
	const server = createServer();
	try {
		server.listen(guardPort, address);
		await once(server, 'listening');
		return server;
	} catch {
		// Another deployment has it.
		return undefined;
	}
}
