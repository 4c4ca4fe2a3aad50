import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, type InstanceId, type RandomSource} from '@valehitch/core';
import {type ServerTable} from '@valehitch/membership';
import {RelaySelector, ServerLinks} from '@valehitch/routing';
import {
	type PeerAddress, type PeerNetwork, parseAddress, probeAddress, ServerRelays, type TunnelTarget,
} from '@valehitch/transport';
import {Left} from 'purify-ts';
import type Logger from 'bunyan';
import {type Member} from '../member.js';
import {type PeerMessage} from '../messages.js';
import {type LinkedServer, toLinkedServers} from './linked-server.js';

/** Options of {@linkcode ServerConnections}. */
export type ServerConnectionsOptions = {
	readonly self: Member;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'openTunnel' | 'tunnelCount'>;
	readonly servers: ServerTable;
	/** Returns the daemons that are known to run. */
	readonly members: () => readonly Member[];
};

/** The timeout of a trial connection to a server, in milliseconds. */
const trialTimeoutMilliseconds = 200;
/** The maximum number of connections to backend servers that other daemons may have open through this one. */
const maximumTunnels = 512;

/**
What a daemon knows of its links to backend servers, and the other daemons through which it reaches servers while its own links fail.

@example
```ts
const connections = new ServerConnections({self, clock, random, log, network, servers, members});
connections.links.isCutOff;
```
*/
export class ServerConnections {
	readonly links: ServerLinks<LinkedServer>;
	readonly relays: ServerRelays;
	readonly #options: ServerConnectionsOptions;
	readonly #selector: RelaySelector;
	#isStopping = false;

	constructor(options: ServerConnectionsOptions) {
		const {clock, random, log, servers, network} = options;
		this.#options = options;
		this.#selector = new RelaySelector({random});
		this.links = new ServerLinks({
			clock,
			random,
			servers: () => toLinkedServers(servers.available()),
			isReachable: async ({address}) => await probeAddress(parseAddress(address), trialTimeoutMilliseconds) === 'open',
			wait: async milliseconds => delay(milliseconds, undefined, {ref: false}),
			onCutOff(evidence) {
				log.warn(evidence, 'This daemon reaches no backend server; requests go through other daemons');
			},
			onReachable(evidence) {
				log.warn(evidence, 'This daemon reaches backend servers again');
			},
		});
		this.relays = new ServerRelays({
			clock,
			selector: {
				choose: choice => this.#chooseRelay(choice),
				recordOpened: instance => this.#selector.recordOpened(instance),
				recordFailure: (instance, now) => {
					this.#selector.recordFailure(instance, now);
				},
				retain: candidates => {
					this.#selector.retain(candidates);
				},
			},
			peers: () => this.#others().map(({instance}) => instance),
			openTunnel: async (relay, target, timeoutMilliseconds) => {
				const peer = this.#others().find(({instance}) => instance === relay);
				return peer === undefined
					? Left({type: 'peer-unavailable', reason: `${relay} is not known any more`})
					: network.openTunnel(peer satisfies PeerAddress, target, {timeoutMilliseconds});
			},
			onTunnel(relay, result) {
				if (result !== 'opened') {
					log.warn({relay, failure: result}, 'No connection to a backend server could be opened through another daemon');
				}
			},
		});
	}

	/**
	Checks whether another daemon may reach an address through this one. It may not if this daemon reaches no server itself, so that no request takes two such steps.

	@param target The address.
	@returns Whether it may.
	*/
	mayRelay({host, port}: TunnelTarget): boolean {
		const {servers, network} = this.#options;
		return !this.#isStopping && this.links.areConnected && network.tunnelCount < maximumTunnels
			&& toLinkedServers(servers.available()).some(({address}) => {
				const known = parseAddress(address);
				return known.host === host && known.port === port;
			});
	}

	/** Accepts no further connections for other daemons. */
	beginStop(): void {
		this.#isStopping = true;
	}

	/** Ends the trials and closes the kept connections. */
	close(): void {
		this.links.stop();
		this.relays.close();
	}

	/** Daemons of the own availability zone are asked first. */
	#chooseRelay(choice: Parameters<RelaySelector['choose']>[0]): InstanceId | undefined {
		const {self} = this.#options;
		const near = new Set(this.#others().filter(({zone}) => zone === self.zone).map(({instance}) => instance));
		return this.#selector.choose({...choice, candidates: choice.candidates.filter(instance => near.has(instance))}) ?? this.#selector.choose(choice);
	}

	#others(): readonly Member[] {
		const {self, members} = this.#options;
		return members().filter(({instance}) => instance !== self.instance);
	}
}
