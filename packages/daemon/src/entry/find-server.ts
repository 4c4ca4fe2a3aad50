import {type ServerId} from '@valehitch/core';
import {type KnownServer, type ServerTable} from '@valehitch/membership';

/**
Finds a backend server that is there.

@param servers The servers that announced themselves.
@param id The server.
@returns The server, or undefined where it is gone.
@example
```ts
findServer(servers, server)?.announcement.shuttingDown;
```
*/
export function findServer(servers: ServerTable, id: ServerId): KnownServer | undefined {
	return servers.current().find(({announcement}) => announcement.server === id);
}
