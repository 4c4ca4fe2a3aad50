import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** Below the ports that systems give to outgoing connections, one of which could take a port before its daemon listens. */
const portRange = {from: 10_000, below: 32_000};

/**
Finds ports on 127.0.0.1 that nobody listens on.

@param count How many.
@returns The ports, all different.
@example
```ts
const [port] = await freePorts(1);
```
*/
export async function freePorts(count: number): Promise<readonly number[]> {
	const held = new Map<number, Server>();
	while (held.size < count) {
		const port = randomInt(portRange.from, portRange.below);
		const server = held.has(port) ? undefined : await tryToListen(port);
		if (server !== undefined) {
			held.set(port, server);
		}
	}

	await Promise.all([...held.values()].map(async server => {
		const closed = once(server, 'close');
		server.close();
		await closed;
	}));
	return [...held.keys()];
}

async function tryToListen(port: number): Promise<Server | undefined> {
	const server = createServer().listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}
