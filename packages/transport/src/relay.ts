import {type Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {settleProbe} from './_settle-probe.js';
import {type ProbeResult} from './probe-address.js';
import {type OpenTunnel, TunnelAgent} from './tunnel-agent.js';
import {type TunnelTarget} from './tunnel-target.js';

/** What a tunnel that was not opened says of its target. One that did not answer may have reset the connection. */
const probeResults = {
	'peer-unavailable': 'unavailable', 'target-refused': 'refused', 'target-unanswered': 'reset',
} as const;

/** Options of {@linkcode Relay}. */
export type RelayOptions = {
	readonly open: OpenTunnel;
	/** Creates the pool of kept connections; by default one without limits of its own. */
	readonly createPool?: ((open: OpenTunnel) => Agent) | undefined;
};

/**
Another entry instance through which backend servers are reached. It only passes bytes on; this instance decides about each request.

@example
```ts
const relay = new Relay(instance, {open: openTunnel});
```
*/
export class Relay {
	readonly instance: InstanceId;
	/** The kept connections through the relay. */
	readonly pool: Agent;
	/** Opens a connection for each request, for those that may not be repeated. */
	readonly singleUse: Agent;
	readonly #open: OpenTunnel;

	constructor(instance: InstanceId, {open, createPool = openTunnel => new TunnelAgent(openTunnel, {keepAlive: true})}: RelayOptions) {
		this.instance = instance;
		this.#open = open;
		this.pool = createPool(open);
		this.singleUse = new TunnelAgent(open, {keepAlive: false});
	}

	/** Keeps no connection through the relay any longer: idle ones are closed, and the others once their requests have ended. */
	retire(): void {
		this.pool.maxFreeSockets = 0;
		for (const sockets of Object.values(this.pool.freeSockets)) {
			for (const socket of sockets ?? []) {
				socket.destroy();
			}
		}
	}

	/**
	Checks whether a server accepts a connection from the relay, without sending a request.

	@param server The server.
	@returns The result, or that the relay cannot be used.
	*/
	async probe({host, port}: TunnelTarget): Promise<ProbeResult | 'unavailable'> {
		return settleProbe(async () => {
			const opened = await this.#open({host, port});
			return opened.caseOf<Socket | (typeof probeResults)[keyof typeof probeResults]>({
				Left: ({type}) => probeResults[type],
				Right: ({socket}) => socket,
			});
		}, {isDirect: false});
	}
}
