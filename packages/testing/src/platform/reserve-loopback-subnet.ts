import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** A /24 subnet of loopback addresses that no other deployment on the machine uses. */
export type ReservedSubnet = {
	/** The first three octets of its addresses, such as `127.10.0`. */
	readonly prefix: string;
	/** Releases the subnet. */
	readonly release: () => void;
};

const firstSecondOctet = 10;
const subnetCount = 240 * 250;
const subnetsPerSecondOctet = 250;
/** The last octet of the address that marks a subnet as reserved; no process of a deployment uses it. */
const lockHost = 254;
const lockPort = 8228;

/**
Reserves a loopback subnet for a deployment whose processes all use the same ports.

A listener on one of the addresses holds the reservation until it is released or this process exits.
Addresses derived from the process id would collide, because two ids can differ by a multiple of the number of subnets.

@returns The subnet.
@throws If no subnet is free.
@example
```ts
const {prefix, release} = await reserveLoopbackSubnet();
```
*/
export async function reserveLoopbackSubnet(): Promise<ReservedSubnet> {
	const start = randomInt(subnetCount);
	for (let offset = 0; offset < subnetCount; offset++) {
		const index = (start + offset) % subnetCount;
		const prefix = `127.${firstSecondOctet + Math.floor(index / subnetsPerSecondOctet)}.${index % subnetsPerSecondOctet}`;
		const lock = await listenOn(`${prefix}.${lockHost}`);
		if (lock !== undefined) {
			lock.unref();
			return {
				prefix, release() {
					lock.close();
				},
			};
		}
	}

	throw new Error(`None of the ${subnetCount} loopback subnets is free`);
}

async function listenOn(address: string): Promise<Server | undefined> {
	const server = createServer();
	try {
		server.listen(lockPort, address);
		await once(server, 'listening');
		return server;
	} catch {
		// The address is in use by another deployment.
		return undefined;
	}
}
