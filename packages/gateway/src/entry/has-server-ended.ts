import {type ServerRecord} from '../servers/server-record.js';
import {probeServer} from './_probe-server.js';

/** The timeout of the connection attempt, in milliseconds. A running machine accepts or refuses a connection within one round trip. If it does neither, it is partitioned or has no power, and whether the process has ended is unknown. */
const answerMilliseconds = 100;

/**
Checks whether the process of a server has ended after a connection to it broke: its machine then refuses new connections.

A connection reset is not enough evidence, because a server resets connections beyond its limit and closes idle keep-alive connections. Draining servers are not checked, since they may exit at any time.

@param server The server.
@returns Whether the process has certainly ended.
@example
```ts
const hasEnded = await hasServerEnded({host: '10.0.0.7', port: 8740});
```
*/
export async function hasServerEnded(server: Pick<ServerRecord, 'host' | 'port'>): Promise<boolean> {
	return await probeServer(server, answerMilliseconds) === 'refused';
}
