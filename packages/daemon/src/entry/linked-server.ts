import {type ServerId} from '@valehitch/core';
import {type KnownServer} from '@valehitch/membership';

/** A backend server to which connections are opened. */
export type LinkedServer = {
	readonly id: ServerId;
	/** The base URL. */
	readonly address: string;
};

/**
Returns the ids and addresses of known servers.

@param servers The servers.
@returns Their ids and addresses.
@example
```ts
toLinkedServers(servers.available());
```
*/
export function toLinkedServers(servers: readonly KnownServer[]): readonly LinkedServer[] {
	return servers.map(({announcement: {server, address}}) => ({id: server, address}));
}
