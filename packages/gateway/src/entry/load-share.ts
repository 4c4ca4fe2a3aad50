import {type InstanceId, type ServerId} from '@valehitch/core';
import {type LoadMessage} from '../control/peer-message.js';

/** What the exchange of loads needs. */
export type LoadShareOptions = {
	/** The loads of this instance that are not zero. */
	readonly own: () => LoadMessage['loads'];
	/** The entry instances that are told; a bounded number. */
	readonly peers: () => readonly InstanceId[];
	/** Sends a message that may be lost. */
	readonly send: (to: InstanceId, message: LoadMessage) => void;
};

type PeerLoads = {
	readonly loads: ReadonlyMap<ServerId, number>;
	readonly at: number;
};

/** After this time without a message a peer's loads count no more, in milliseconds: four times the longest pause between two messages. */
const staleMilliseconds = 1200;
/** Work that changed by less than this since the last message is not worth another, in units of a short request. */
const leastChange = 2;
/** The messages to peers for each change of the own work, so that the exchange costs a bounded part of what the requests do, however many peers there are. */
const messagesPerChange = 2;
/** The messages that can be saved up: a few flushes. */
const maximumSaved = 20;
/** A load that does not change is told again after this time, in milliseconds, so that a lost message does not last. */
const repeatMilliseconds = 500;

/**
Shares with the nearest entry instances how much work each has at which server, so that their choices do not meet at the same one.

Reports of the servers would come too late: half a second is longer than most requests take.

@example
```ts
const share = new LoadShare({own, peers, send});
share.noteChange(1);
share.flush(now);
```
*/
export class LoadShare {
	readonly #options: LoadShareOptions;
	readonly #peers = new Map<InstanceId, PeerLoads>();
	#sums = new Map<ServerId, number>();
	/** How much the own work changed since the last message, up and down together. */
	#changed = 0;
	/** The messages that may be sent now. */
	#saved = 0;
	#sentAt = 0;
	#wasIdle = true;

	constructor(options: LoadShareOptions) {
		this.#options = options;
	}

	/**
	Notes that an own load changed.

	@param work By how much, in units of a short request.
	*/
	noteChange(work: number): void {
		this.#changed += Math.abs(work);
		this.#saved = Math.min(maximumSaved, this.#saved + messagesPerChange);
	}

	/**
	Sends the own loads where they changed enough, and drops those of peers that fell silent.

	@param now Milliseconds on the monotonic clock.
	*/
	flush(now: number): void {
		this.#expire(now);
		const peers = this.#options.peers();
		const elapsed = now - this.#sentAt;
		const mayTell = this.#changed >= leastChange && this.#saved >= peers.length;
		const mustTell = elapsed >= repeatMilliseconds && !(this.#wasIdle && this.#changed === 0);
		if (!mayTell && !mustTell) {
			return;
		}

		const message: LoadMessage = {type: 'load', loads: this.#options.own()};
		this.#changed = 0;
		this.#saved = Math.max(0, this.#saved - peers.length);
		this.#sentAt = now;
		this.#wasIdle = message.loads.length === 0;
		for (const peer of peers) {
			this.#options.send(peer, message);
		}
	}

	/**
	Takes the loads of a peer; they replace those it told before.

	@param from The peer.
	@param message Its loads.
	@param now Milliseconds on the monotonic clock.
	*/
	receive(from: InstanceId, {loads}: LoadMessage, now: number): void {
		this.#peers.set(from, {loads: new Map(loads), at: now});
		this.#sum();
	}

	/**
	The work of the peers at a server.

	@param server The server.
	@returns The sum of what they told.
	*/
	othersOn(server: ServerId): number {
		return this.#sums.get(server) ?? 0;
	}

	/**
	Forgets what peers told of a server whose process has ended.

	@param server The server.
	*/
	forget(server: ServerId): void {
		for (const [peer, {loads, at}] of this.#peers) {
			this.#peers.set(peer, {loads: new Map([...loads].filter(([id]) => id !== server)), at});
		}

		this.#sum();
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
			this.#sum();
		}
	}

	#sum(): void {
		const sums = new Map<ServerId, number>();
		for (const {loads} of this.#peers.values()) {
			for (const [server, load] of loads) {
				sums.set(server, (sums.get(server) ?? 0) + load);
			}
		}

		this.#sums = sums;
	}
}
