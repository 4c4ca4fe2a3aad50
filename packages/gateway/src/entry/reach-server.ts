import {type ServerRecord} from '../servers/server-record.js';
import {probeServer} from './_probe-server.js';

/**
Looks whether a server takes a new connection: one that is at work on long prompts does, one without power or behind a cut does not.

No request is sent, so that none waits for a place there.

@param server The server.
@param timeout Milliseconds within which the connection must open.
@returns Whether it opened.
@example
```ts
const isAlive = await reachServer(server, 200);
```
*/
export async function reachServer(server: Pick<ServerRecord, 'host' | 'port'>, timeout: number): Promise<boolean> {
	return await probeServer(server, timeout) === 'open';
}
