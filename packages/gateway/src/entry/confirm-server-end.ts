import {type ServerRecord} from '../servers/server-record.js';
import {probeServer} from './_probe-server.js';

/** A machine that runs refuses or opens a connection within a round trip; where neither comes in this time it is behind a cut or without power, and whether the process ended is not known. In milliseconds. */
const answerMilliseconds = 100;

/**
Looks whether the process of a server has ended, after a connection to it broke: its machine refuses a new connection then.

A reset alone says less: a server resets connections beyond its bound, and drops idle ones that were kept. A drained server is not looked at, since it may end at any moment.

@param server The server.
@returns Whether it has surely ended.
@example
```ts
const hasEnded = await confirmServerEnd({host: '10.0.0.7', port: 8740});
```
*/
export async function confirmServerEnd(server: Pick<ServerRecord, 'host' | 'port'>): Promise<boolean> {
	return await probeServer(server, answerMilliseconds) === 'refused';
}
