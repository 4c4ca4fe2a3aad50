import {type ServerId} from '@valehitch/core';
import {type KnownServer, type ServerTable} from '@valehitch/membership';

/**
Finds a known backend server by its id.

@param servers The known servers.
@param id The id of the server.
@returns The server, or undefined if it is not known any more.
@example
```ts
findServer(servers, server)?.announcement.shuttingDown;
```
*/
export function findServer(servers: ServerTable, id: ServerId): KnownServer | undefined {
	return servers.available().find(({announcement}) => announcement.server === id);
}
