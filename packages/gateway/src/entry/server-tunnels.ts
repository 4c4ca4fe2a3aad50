import {mayRelay, type ServerLinks} from '@valehitch/routing';
import {type TunnelTarget} from '@valehitch/transport';
import {type EntryServers} from './entry-servers.js';

/** Options of {@linkcode ServerTunnels}. */
export type ServerTunnelsOptions = {
	readonly links: Pick<ServerLinks, 'of'>;
	readonly servers: {readonly availability: Pick<EntryServers['availability'], 'serverAt'>};
	/** Returns whether the instance is shutting down. */
	readonly isStopping: () => boolean;
};

/**
Decides which connections to servers an entry instance opens for others, and what they say of its own links and of the servers.

@example
```ts
const tunnels = new ServerTunnels({links, servers, isStopping});
tunnels.mayOpen(target, 3);
```
*/
export class ServerTunnels {
	readonly #options: ServerTunnelsOptions;

	constructor(options: ServerTunnelsOptions) {
		this.#options = options;
	}

	/**
	Checks whether another entry instance may reach an address through this one. It may not if this instance reaches no server of the service itself, so that no request takes two such steps.

	@param target The address.
	@param openTunnels The number of connections that are open through this instance.
	@returns Whether it may.
	*/
	mayOpen(target: TunnelTarget, openTunnels: number): boolean {
		const {links, servers, isStopping} = this.#options;
		const server = servers.availability.serverAt(target);
		return server !== undefined && mayRelay({isStopping: isStopping(), links: links.of(server.service), openTunnels});
	}

	/**
	Records whether a connection to a server opened that was made for another entry instance.

	@param target The address of the server.
	@param isOpen Whether it opened.
	@returns Whether the server is to blame for a failure; false if the links of this instance are in doubt.
	*/
	recordTarget(target: TunnelTarget, isOpen: boolean): boolean {
		const {links, servers} = this.#options;
		const server = servers.availability.serverAt(target);
		return server === undefined || links.of(server.service).recordResult(server.id, isOpen);
	}
}
