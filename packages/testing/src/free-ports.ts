import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

const lowestPort = 10_000;
/** Linux gives outgoing connections their ports from 32768 on; a port from there may be taken again before it is used. */
const firstEphemeralPort = 32_768;
const blockPorts = 100;
const blocks = Math.floor((firstEphemeralPort - lowestPort) / blockPorts);
const host = '127.0.0.1';

/** The ports that this process may still hand out; each comes from a block that it holds. */
const reserved: number[] = [];

/**
Finds ports on 127.0.0.1 that nobody listens on, below those that outgoing connections take.

The ports come from blocks that this process holds by listening on their first port until it ends, so that processes that run at the same time never hand out the same one.

@param count How many.
@returns The ports, all different and different from those handed out before.
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
	const start = randomInt(blocks);
	for (let offset = 0; offset < blocks; offset++) {
		const first = lowestPort + (((start + offset) % blocks) * blockPorts);
		const guard = await listenOn(first);
		if (guard !== undefined) {
			guard.unref();
			reserved.push(...Array.from({length: blockPorts - 1}, (_, index) => first + index + 1));
			return;
		}
	}

	throw new Error(`Got no free block of ports from ${lowestPort} to ${firstEphemeralPort}, wanted one`);
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
