import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

const lowestPort = 10_000;
/** Start of Linux's ephemeral port range: an outgoing connection could take a port above it before a test uses the port. */
const firstEphemeralPort = 32_768;
const portsPerBlock = 100;
const blockCount = Math.floor((firstEphemeralPort - lowestPort) / portsPerBlock);
const host = '127.0.0.1';

/** Ports that this process may still hand out, from the blocks that it has reserved. */
const reserved: number[] = [];

/**
Finds unused ports on 127.0.0.1 below the ephemeral port range.

The range is divided into blocks. This process reserves a block by listening on its first port until the process exits, so that concurrent processes never hand out the same port.

@param count The number of ports.
@returns Distinct ports that this process has not handed out before.
@example
```ts
const [port] = await freePorts(1);
```
*/
export async function freePorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = reserved.shift();
		if (port === undefined) {
			await reserveBlock();
		} else if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function reserveBlock(): Promise<void> {
	const startBlock = randomInt(blockCount);
	for (let offset = 0; offset < blockCount; offset++) {
		const first = lowestPort + (((startBlock + offset) % blockCount) * portsPerBlock);
		const blockLock = await listenOn(first);
		if (blockLock !== undefined) {
			blockLock.unref();
			reserved.push(...Array.from({length: portsPerBlock - 1}, (_, index) => first + index + 1));
			return;
		}
	}

	throw new Error(`No free block of ports between ${lowestPort} and ${firstEphemeralPort}`);
}

async function isFree(port: number): Promise<boolean> {
	const server = await listenOn(port);
	if (server === undefined) {
		return false;
	}

	const closed = once(server, 'close');
	server.close();
	await closed;
	return true;
}

async function listenOn(port: number): Promise<Server | undefined> {
	const server = createServer();
	try {
		server.listen(port, host);
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}
