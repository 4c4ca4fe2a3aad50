import {setTimeout as delay} from 'node:timers/promises';
import {
	type Announcement, type Clock, type InstanceId, type RandomSource, type ServerId,
} from '@valehitch/core';
import {type ServerTable} from '@valehitch/membership';
import {mayRelay, ServerLinks} from '@valehitch/routing';
import {
	type PeerNetwork, parseAddress, probeAddress, ServerRelays, type TunnelTarget,
} from '@valehitch/transport';
import {Left} from 'purify-ts';
import type Logger from 'bunyan';
import {type Member} from '../member.js';
import {type PeerMessage} from '../messages.js';
import {serverGroupOf} from './server-group-of.js';
import {NearRelaySelector} from './near-relay-selector.js';

/** Options of {@linkcode ServerConnections}. */
export type ServerConnectionsOptions = {
	readonly self: Member;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'openTunnel' | 'tunnelCount' | 'tunnelPeers' | 'send'>;
	readonly servers: ServerTable;
	/** Returns the daemons that are known to run. */
	readonly members: () => readonly Member[];
};

/** The timeout of a trial connection to a server, in milliseconds. */
const trialTimeoutMilliseconds = 200;

/**
What a daemon knows of its links to backend servers, and the other daemons through which it reaches servers while its own links fail.

@example
```ts
const connections = new ServerConnections({self, clock, random, log, network, servers, members});
connections.links.of(serverGroupOf(announcement)).isCutOff;
```
*/
export class ServerConnections {
	readonly links: ServerLinks;
	readonly relays: ServerRelays;
	readonly #options: ServerConnectionsOptions;
	#isStopping = false;

	constructor(options: ServerConnectionsOptions) {
		const {clock, random, log, servers} = options;
		this.#options = options;
		this.links = new ServerLinks({
			clock,
			random,
			servers: () => servers.available().map(({announcement}) => ({id: announcement.server, service: serverGroupOf(announcement), address: announcement.address})),
			isReachable: async ({address}) => await probeAddress(parseAddress(address), trialTimeoutMilliseconds) === 'open',
			wait: async milliseconds => delay(milliseconds, undefined, {ref: false}),
			onCutOff(evidence) {
				log.warn(evidence, 'This daemon reaches no backend server of a group; requests go through other daemons');
			},
			onReachable(evidence) {
				log.warn(evidence, 'This daemon reaches backend servers of the group again');
			},
		});
		this.relays = createRelays(options, () => this.#others());
	}

	/**
	Checks whether a server accepts a connection of this daemon.

	@param server The server.
	@returns Whether it does; undefined if the server is not known any more, or while the links of this daemon are in doubt.
	*/
	async isReachable(server: ServerId): Promise<boolean | undefined> {
		const announcement = this.#options.servers.available().find(known => known.announcement.server === server)?.announcement;
		if (announcement === undefined) {
			return undefined;
		}

		const result = await probeAddress(parseAddress(announcement.address), trialTimeoutMilliseconds);
		return this.links.of(serverGroupOf(announcement)).areConnected ? result === 'open' : undefined;
	}

	/**
	Checks whether another daemon may reach an address through this one. It may not if this daemon reaches no server itself, so that no request takes two such steps.

	@param target The address.
	@returns Whether it may.
	*/
	mayRelay(target: TunnelTarget): boolean {
		const announcement = this.#announcementAt(target);
		return announcement !== undefined && mayRelay({
			isStopping: this.#isStopping, links: this.links.of(serverGroupOf(announcement)), openTunnels: this.#options.network.tunnelCount,
		});
	}

	/**
	Records whether a connection to a server opened that was made for another daemon.

	@param target The address of the server.
	@param isOpen Whether it opened.
	@returns Whether the server is to blame for a failure; false if the links of this daemon are in doubt.
	*/
	recordTunnelTarget(target: TunnelTarget, isOpen: boolean): boolean {
		const announcement = this.#announcementAt(target);
		return announcement === undefined || this.links.of(serverGroupOf(announcement)).recordResult(announcement.server, isOpen);
	}

	/** Accepts no further connections for other daemons, and tells those that have some open to send no more requests on them. */
	beginStop(): void {
		const {network, self} = this.#options;
		this.#isStopping = true;
		for (const other of this.#others()) {
			if (network.tunnelPeers.has(other.instance)) {
				network.send(other, {scope: 'entry', type: 'relay-stopping', relay: self.instance});
			}
		}
	}

	/** Ends the trials and closes the kept connections. */
	close(): void {
		this.links.stop();
		this.relays.close();
	}

	#announcementAt({host, port}: TunnelTarget): Announcement | undefined {
		const found = this.#options.servers.available().find(({announcement}) => {
			const known = parseAddress(announcement.address);
			return known.host === host && known.port === port;
		});
		return found?.announcement;
	}

	#others(): readonly Member[] {
		const {self, members} = this.#options;
		return members().filter(({instance}) => instance !== self.instance);
	}
}

function createRelays({self, clock, random, log, network}: ServerConnectionsOptions, others: () => readonly Member[]): ServerRelays {
	const find = (instance: InstanceId): Member | undefined => others().find(member => member.instance === instance);
	return new ServerRelays({
		clock,
		selector: new NearRelaySelector({random, isNear: instance => find(instance)?.zone === self.zone}),
		peers: () => others().map(({instance}) => instance),
		async openTunnel(relay, target, timeoutMilliseconds) {
			const peer = find(relay);
			return peer === undefined
				? Left({type: 'peer-unavailable', reason: `${relay} is not known any more`})
				: network.openTunnel(peer, target, {timeoutMilliseconds});
		},
		onTunnel(relay, result) {
			if (result !== 'opened') {
				log.warn({relay, failure: result}, 'No connection to a backend server could be opened through another daemon');
			}
		},
	});
}
