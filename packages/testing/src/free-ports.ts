import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';

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
	const servers = Array.from({length: count}, () => createServer().listen(0, '127.0.0.1'));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		const closed = once(server, 'close');
		server.close();
		await closed;
	}));
	return ports;
}
