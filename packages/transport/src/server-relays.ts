import {type Clock, type InstanceId} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type OpenedTunnel, type TunnelFailure} from './open-tunnel.js';
import {Relay, type RelayOptions} from './relay.js';
import {type TunnelTarget} from './tunnel-target.js';

/** Opens a tunnel to a target through another entry instance, within a time in milliseconds. */
export type OpenRelayTunnel = (relay: InstanceId, target: TunnelTarget, timeout: number) => Promise<Either<TunnelFailure, OpenedTunnel>>;

/** What a relay is chosen from. */
export type RelayChoice = {
	readonly candidates: readonly InstanceId[];
	/** The instances that have already failed for the request. */
	readonly excluded: ReadonlySet<InstanceId>;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether instances that have failed recently are left out even if there are no others. */
	readonly areFailedExcluded: boolean;
	/** The candidates that are known to reach no server of some service. */
	readonly cutOff: ReadonlySet<InstanceId>;
};

/** The choice of a relay, and what it depends on. */
export type RelayChooser = {
	readonly choose: (choice: RelayChoice) => InstanceId | undefined;
	/** Counts a connection through a relay; returns a function that ends the count. */
	readonly recordOpened: (instance: InstanceId, opened: {readonly now: number; readonly told: number | undefined}) => () => void;
	readonly recordFailure: (instance: InstanceId, now: number) => void;
	/** Forgets instances that are no longer candidates. */
	readonly retain: (candidates: readonly InstanceId[]) => void;
};

/** Options of {@linkcode ServerRelays}. */
export type ServerRelaysOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Chooses among the instances by what is recorded of them. */
	readonly selector: RelayChooser;
	/** Returns the entry instances that may be asked. */
	readonly peers: () => readonly InstanceId[];
	/** Returns those of them that are known to reach no server of some service; none by default. */
	readonly cutOffPeers?: () => ReadonlySet<InstanceId>;
	readonly openTunnel: OpenRelayTunnel;
	/** Creates the pool of a relay's kept connections; by default one without limits of its own. */
	readonly createPool?: RelayOptions['createPool'];
	/** Called with the result of each tunnel that was opened or not. */
	readonly onTunnel: (relay: InstanceId, result: 'opened' | TunnelFailure) => void;
};

/** The time within which a tunnel must be open, in milliseconds. Within a region, it takes a few milliseconds. */
const tunnelTimeoutMilliseconds = 300;

/**
The entry instances through which this one reaches backend servers while its own links to them fail.

@example
```ts
const relays = new ServerRelays({clock, selector, peers, openTunnel, onTunnel});
const relay = relays.choose(new Set());
```
*/
export class ServerRelays {
	readonly #options: ServerRelaysOptions;
	readonly #relays = new Map<InstanceId, Relay>();
	/** The latest relay of each instance that has stopped, through which requests may still be under way. */
	readonly #retired = new Map<InstanceId, Relay>();

	constructor(options: ServerRelaysOptions) {
		this.#options = options;
	}

	/** The number of instances that may be asked. */
	get candidateCount(): number {
		return this.#options.peers().length;
	}

	/**
	Chooses a relay. One that is cut off from servers itself is asked after all others. One that has failed recently is asked if there is no other, but not by a request that another relay has already failed.

	@param excluded The instances that have already failed for the request.
	@returns The relay; undefined if there is none.
	*/
	choose(excluded: ReadonlySet<InstanceId>): Relay | undefined {
		const {peers, cutOffPeers = () => new Set<InstanceId>(), clock, selector, createPool} = this.#options;
		const candidates = peers();
		selector.retain(candidates);
		const instance = selector.choose({
			candidates, excluded, now: clock.monotonic(), areFailedExcluded: excluded.size > 0, cutOff: cutOffPeers(),
		});
		if (instance === undefined) {
			return undefined;
		}

		const relay = this.#relays.get(instance) ?? new Relay(instance, {open: async target => this.#open(instance, target), createPool});
		this.#relays.set(instance, relay);
		return relay;
	}

	/**
	Sends no more requests through an instance that is shutting down; those under way go on. A later process of the instance is a new relay.

	@param instance The instance.
	*/
	retire(instance: InstanceId): void {
		const {selector, clock} = this.#options;
		selector.recordFailure(instance, clock.monotonic());
		const relay = this.#relays.get(instance);
		if (relay !== undefined) {
			relay.retire();
			this.#relays.delete(instance);
			this.#retired.set(instance, relay);
		}
	}

	/** Closes the kept connections of all relays. */
	close(): void {
		for (const {pool} of [...this.#relays.values(), ...this.#retired.values()]) {
			pool.destroy();
		}

		this.#relays.clear();
		this.#retired.clear();
	}

	async #open(instance: InstanceId, target: TunnelTarget): Promise<Either<TunnelFailure, OpenedTunnel>> {
		const {openTunnel, onTunnel, selector, clock} = this.#options;
		const opened = await openTunnel(instance, target, tunnelTimeoutMilliseconds);
		opened.ifRight(({socket, relayTunnels}) => {
			onTunnel(instance, 'opened');
			socket.once('close', selector.recordOpened(instance, {now: clock.monotonic(), told: relayTunnels}));
		}).ifLeft(failed => {
			onTunnel(instance, failed);
			if (failed.type === 'peer-unavailable') {
				selector.recordFailure(instance, clock.monotonic());
			}
		});
		return opened;
	}
}
