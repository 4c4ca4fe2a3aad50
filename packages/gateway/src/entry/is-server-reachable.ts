import {probeAddress} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';

/**
Checks whether a server accepts a new connection. A server that is processing long prompts does; a server that lost power or is behind a network partition does not.

No request is sent, so the check does not occupy a slot of the server.

@param server The server.
@param timeout The connection timeout, in milliseconds.
@returns Whether the connection was accepted.
@example
```ts
const isReachable = await isServerReachable(server, 200);
```
*/
export async function isServerReachable(server: Pick<ServerRecord, 'host' | 'port'>, timeout: number): Promise<boolean> {
	return await probeAddress(server, timeout) === 'open';
}
