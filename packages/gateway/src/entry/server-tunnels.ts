import {type InstanceId} from '@valehitch/core';
import {relayRefusal, type ServerLinks} from '@valehitch/routing';
import {type TunnelTarget} from '@valehitch/transport';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryServers} from './entry-servers.js';

/** Options of {@linkcode ServerTunnels}. */
export type ServerTunnelsOptions = {
	readonly links: Pick<ServerLinks, 'of'>;
	readonly servers: {readonly availability: Pick<EntryServers['availability'], 'serverAt'>};
	/** Returns whether the instance is shutting down. */
	readonly isStopping: () => boolean;
	/** Told why a connection is refused. */
	readonly log: DecisionLog;
};

/** A request of another entry instance for a connection. */
export type TunnelRequest = {
	/** The instance that asks. */
	readonly from: InstanceId;
	/** The number of connections that are open through this instance. */
	readonly openTunnels: number;
};

type Refusal = Partial<TunnelRequest> & {
	/** The server at the address; undefined if none is known. */
	readonly server: ServerRecord | undefined;
	readonly reason: string;
};

/**
Decides which connections to servers an entry instance opens for others, and what they say of its own links and of the servers.

@example
```ts
const tunnels = new ServerTunnels({links, servers, isStopping, log});
tunnels.mayOpen(target, {from, openTunnels: 3});
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
	@param request Who asks, and the connections that are open.
	@returns Whether it may.
	*/
	mayOpen(target: TunnelTarget, {from, openTunnels}: TunnelRequest): boolean {
		const {links, servers, isStopping} = this.#options;
		const server = servers.availability.serverAt(target);
		const reason = server === undefined ? 'unknown-server' : relayRefusal({isStopping: isStopping(), links: links.of(server.service), openTunnels});
		if (reason !== undefined) {
			this.#logRefusal(target, {
				server, from, reason, openTunnels,
			});
		}

		return reason === undefined;
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
		const isServerToBlame = server === undefined || links.of(server.service).recordResult(server.id, isOpen);
		if (!isOpen) {
			this.#logRefusal(target, {server, reason: isServerToBlame ? 'server-unreachable' : 'links-suspected'});
		}

		return isServerToBlame;
	}

	#logRefusal({host, port}: TunnelTarget, {server, ...details}: Refusal): void {
		this.#options.log('tunnel-refused', {server: server?.id ?? `${host}:${port}`, service: server?.service, ...details}, 'warn');
	}
}
