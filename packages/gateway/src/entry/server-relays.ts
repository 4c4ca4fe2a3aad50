import {type Socket} from 'node:net';
import {type Clock, type InstanceId, type RandomSource} from '@valehitch/core';
import {RelaySelector} from '@valehitch/routing';
import {type TunnelFailure, type TunnelTarget} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {Relay} from './relay.js';

/** Opens a tunnel to a target through another entry instance, within a time in milliseconds. */
export type OpenRelayTunnel = (relay: InstanceId, target: TunnelTarget, timeout: number) => Promise<Either<TunnelFailure, Socket>>;

/** Options of {@linkcode ServerRelays}. */
export type ServerRelaysOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'tunnels'>;
	/** Returns the entry instances that may be asked. */
	readonly peers: () => readonly InstanceId[];
	readonly openTunnel: OpenRelayTunnel;
};

/** The time within which a tunnel must be open, in milliseconds. Within a region, it takes a few milliseconds. */
const tunnelTimeoutMilliseconds = 300;

/**
The entry instances through which this one reaches backend servers while its own links to them fail.

@example
```ts
const relays = new ServerRelays({clock, random, log, metrics, peers, openTunnel});
const relay = relays.choose(new Set());
```
*/
export class ServerRelays {
	readonly #options: ServerRelaysOptions;
	readonly #selector: RelaySelector;
	readonly #relays = new Map<InstanceId, Relay>();

	constructor(options: ServerRelaysOptions) {
		this.#options = options;
		this.#selector = new RelaySelector(options);
	}

	/**
	Chooses a relay.

	@param excluded The instances that have already failed for the request.
	@returns The relay; undefined if there is none.
	*/
	choose(excluded: ReadonlySet<InstanceId>): Relay | undefined {
		const {peers, clock} = this.#options;
		const candidates = peers();
		this.#selector.retain(candidates);
		const instance = this.#selector.choose({candidates, excluded, now: clock.monotonic()});
		if (instance === undefined) {
			return undefined;
		}

		const relay = this.#relays.get(instance) ?? new Relay(instance, async target => this.#open(instance, target));
		this.#relays.set(instance, relay);
		return relay;
	}

	/** Closes the kept connections of all relays. */
	close(): void {
		for (const {pool} of this.#relays.values()) {
			pool.destroy();
		}

		this.#relays.clear();
	}

	async #open(instance: InstanceId, target: TunnelTarget): Promise<Either<TunnelFailure, Socket>> {
		const {openTunnel, metrics} = this.#options;
		const opened = await openTunnel(instance, target, tunnelTimeoutMilliseconds);
		opened.ifRight(socket => {
			metrics.tunnels.inc({result: 'opened'});
			socket.once('close', this.#selector.recordOpened(instance));
		}).ifLeft(failed => {
			metrics.tunnels.inc({result: failed.type});
			this.#recordFailure(instance, failed);
		});
		return opened;
	}

	#recordFailure(instance: InstanceId, {type, reason}: TunnelFailure): void {
		const {clock, log} = this.#options;
		if (type === 'peer-unavailable') {
			this.#selector.recordFailure(instance, clock.monotonic());
			log('relay-unavailable', {relay: instance, reason}, 'warn');
		}
	}
}
