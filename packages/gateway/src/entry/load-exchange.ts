import {type InstanceId, type ServerId} from '@valehitch/core';
import {type LoadMessage} from '../control/peer-message.js';

/** Options of {@linkcode LoadExchange}. */
export type LoadExchangeOptions = {
	/** Returns the non-zero loads of this instance. */
	readonly ownLoads: () => LoadMessage['loads'];
	/** Returns the entry instances that receive the loads; their number is bounded. */
	readonly peers: () => readonly InstanceId[];
	/** Sends a message without guaranteed delivery. */
	readonly send: (to: InstanceId, message: LoadMessage) => void;
};

type PeerLoads = {
	readonly loads: ReadonlyMap<ServerId, number>;
	readonly at: number;
};

/** The time without a message after which the loads of a peer expire, in milliseconds. It is about twice the longest pause between two messages, so a single lost message does not expire them. */
const staleMilliseconds = 1200;
/** The minimum change of the load since the last message that triggers another one, in units of a short request. */
const minimumChange = 2;
/** The number of messages earned by each change of the local load. It limits the cost of the exchange relative to that of the requests, regardless of the number of peers. */
const creditsPerChange = 2;
/** The maximum number of earned messages, enough for a few flushes. */
const maximumCredits = 20;
/** The interval at which unchanged loads are sent again, in milliseconds, to recover from lost messages. */
const repeatMilliseconds = 500;

/**
Exchanges the load at each server with the nearest entry instances, so that they do not all choose the same server.

Load reports from the servers themselves would be too old: they arrive every half second, and most requests take less.

@example
```ts
const exchange = new LoadExchange({ownLoads, peers, send});
exchange.recordChange(1);
exchange.flush(now);
```
*/
export class LoadExchange {
	readonly #options: LoadExchangeOptions;
	readonly #peers = new Map<InstanceId, PeerLoads>();
	#sums = new Map<ServerId, number>();
	/** The sum of the absolute changes of the local load since the last message. */
	#pendingChange = 0;
	/** The number of earned messages. */
	#credits = 0;
	#sentAt = 0;
	#wasIdle = true;

	constructor(options: LoadExchangeOptions) {
		this.#options = options;
	}

	/**
	Records a change of the local load.

	@param change The change, in units of a short request.
	*/
	recordChange(change: number): void {
		this.#pendingChange += Math.abs(change);
		this.#credits = Math.min(maximumCredits, this.#credits + creditsPerChange);
	}

	/**
	Sends the local loads if they changed enough, and removes those of peers that stopped sending.

	@param now Milliseconds on the monotonic clock.
	*/
	flush(now: number): void {
		this.#expire(now);
		const peers = this.#options.peers();
		const elapsed = now - this.#sentAt;
		const shouldSendChange = this.#pendingChange >= minimumChange && this.#credits >= peers.length;
		const shouldRepeat = elapsed >= repeatMilliseconds && !(this.#wasIdle && this.#pendingChange === 0);
		if (!shouldSendChange && !shouldRepeat) {
			return;
		}

		const message: LoadMessage = {type: 'load', loads: this.#options.ownLoads()};
		this.#pendingChange = 0;
		this.#credits = Math.max(0, this.#credits - peers.length);
		this.#sentAt = now;
		this.#wasIdle = message.loads.length === 0;
		for (const peer of peers) {
			this.#options.send(peer, message);
		}
	}

	/**
	Applies the loads of a peer, which replace its previous ones.

	@param from The peer.
	@param message Its loads.
	@param now Milliseconds on the monotonic clock.
	*/
	receive(from: InstanceId, {loads}: LoadMessage, now: number): void {
		this.#peers.set(from, {loads: new Map(loads), at: now});
		this.#updateSums();
	}

	/**
	Returns the load of the peers at a server.

	@param server The server.
	@returns The sum of the reported loads, in units of a short request.
	*/
	peerLoadAt(server: ServerId): number {
		return this.#sums.get(server) ?? 0;
	}

	/**
	Discards the reported loads at a server whose process has ended.

	@param server The server.
	*/
	discardServer(server: ServerId): void {
		for (const [peer, {loads, at}] of this.#peers) {
			this.#peers.set(peer, {loads: new Map([...loads].filter(([id]) => id !== server)), at});
		}

		this.#updateSums();
	}

	#expire(now: number): void {
		let isExpired = false;
		for (const [peer, {at}] of this.#peers) {
			if (now - at >= staleMilliseconds) {
				this.#peers.delete(peer);
				isExpired = true;
			}
		}

		if (isExpired) {
			this.#updateSums();
		}
	}

	#updateSums(): void {
		const sums = new Map<ServerId, number>();
		for (const {loads} of this.#peers.values()) {
			for (const [server, load] of loads) {
				sums.set(server, (sums.get(server) ?? 0) + load);
			}
		}

		this.#sums = sums;
	}
}
