import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';

const lowestPort = 10_000;
/** Linux gives outgoing connections their ports from 32768 on; a port from there may be taken again before it is used. */
const firstEphemeralPort = 32_768;
const host = '127.0.0.1';

/**
Finds ports on 127.0.0.1 that nobody listens on, below those that outgoing connections take.

@param count How many.
@returns The ports, all different.
@example
```ts
const [port] = await freePorts(1);
```
*/
export async function freePorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	for (let port = randomInt(lowestPort, firstEphemeralPort); ports.length < count; port = port + 1 < firstEphemeralPort ? port + 1 : lowestPort) {
		if (!ports.includes(port) && await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	try {
		server.listen(port, host);
		await once(server, 'listening');
	} catch {
		return false;
	}

	const closed = once(server, 'close');
	server.close();
	await closed;
	return true;
}
