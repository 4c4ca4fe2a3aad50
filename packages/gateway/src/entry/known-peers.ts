import {
	type Clock, type InstanceId, type RandomSource, type ServerId,
} from '@valehitch/core';
import {placeShare, rejectionPause} from '@valehitch/routing';
import {maximumLoadSharingPeers} from '../control/select-load-sharing-peers.js';
import {type ServerNoticeMessage, type WatchReply} from '../control/peer-message.js';
import {type ServerRecord} from '../servers/server-record.js';

/** Options of {@linkcode KnownPeers}. */
export type KnownPeersOptions = {
	readonly self: InstanceId;
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	/** Sends a message without waiting for a reply. */
	readonly send: (to: InstanceId, message: ServerNoticeMessage) => void;
};

/** A rejection by a server that falls over if it has to reject many requests. */
export type BrittleRejection = {
	readonly server: ServerId;
	/** The rejections in a second that the server bears. */
	readonly rejectionsPerSecond: number;
};

/** What a control instance has reported. */
type PeerReport = {
	readonly at: number;
	readonly entryCount: number;
	/** The relays that it named last, which stay known while it is out of reach. */
	readonly relays: readonly InstanceId[];
	/** Those of the relays that it called cut off. */
	readonly cutOffRelays: readonly InstanceId[];
};

/** How long the report of a control instance counts beside newer ones of others, in milliseconds: longer than a cut, and less than an operator waits for a smaller deployment to settle. */
const retentionMilliseconds = 60_000;

/**
The other entry instances as control instances report them: the few with which this instance exchanges messages, and how many there are in all.

@example
```ts
const peers = new KnownPeers({self, clock, random, send});
peers.update(source, reply);
peers.placesOf(server);
```
*/
export class KnownPeers {
	readonly #options: KnownPeersOptions;
	readonly #reports = new Map<InstanceId, PeerReport>();
	#ids: readonly InstanceId[] = [];
	/** A control instance behind a cut knows only some of the entry instances, so the largest number counts. */
	#instanceCount = 1;

	constructor(options: KnownPeersOptions) {
		this.#options = options;
	}

	/** The instances with which this one exchanges messages. */
	get ids(): readonly InstanceId[] {
		return this.#ids;
	}

	/** Whether there are more entry instances than this one exchanges messages with. */
	get reachesFew(): boolean {
		return this.#instanceCount > maximumLoadSharingPeers + 1;
	}

	/** The instances through which servers can be reached; the peers if no control instance names any. */
	get relays(): readonly InstanceId[] {
		const relays = new Set([...this.#reports.values()].flatMap(report => report.relays));
		return relays.size === 0 ? this.#ids : [...relays];
	}

	/** The relays that some control instance calls cut off from servers. One that hears nothing of an instance takes it for connected. */
	get cutOffRelays(): ReadonlySet<InstanceId> {
		return new Set([...this.#reports.values()].flatMap(report => report.cutOffRelays));
	}

	/**
	Applies the report of a control instance.

	@param source The control instance.
	@param reply Its reply to a poll.
	*/
	update(source: InstanceId, reply: Pick<WatchReply, 'entries' | 'entryCount' | 'relays' | 'cutOffRelays'>): void {
		const {entries, entryCount = 0, relays, cutOffRelays = []} = reply;
		const at = this.#options.clock.monotonic();
		const known = this.#reports.get(source);
		this.#ids = entries;
		this.#reports.set(source, {
			at,
			entryCount,
			relays: relays ?? known?.relays ?? [],
			cutOffRelays: relays === undefined ? known?.cutOffRelays ?? [] : cutOffRelays,
		});
		this.#removeExpired(at);
		this.#instanceCount = Math.max(entries.length + 1, ...[...this.#reports.values()].map(report => report.entryCount));
	}

	/**
	Returns how many places of a brittle server this instance may use.

	@param server The server.
	@returns The number of places.
	*/
	placesOf({id, slots}: Pick<ServerRecord, 'id' | 'slots'>): number {
		return placeShare({
			server: id, slots, self: this.#options.self, others: this.#ids, instances: this.#instanceCount,
		});
	}

	/**
	Tells the peers that a brittle server rejected a request, so that they leave it alone too.

	@param rejection The rejection.
	@returns For how long this instance leaves the server alone, in milliseconds.
	*/
	tellRejection({server, rejectionsPerSecond}: BrittleRejection): number {
		const {random, send} = this.#options;
		const pauseOptions = {rejectionsPerSecond, instances: this.#instanceCount, random};
		for (const peer of this.#ids) {
			send(peer, {
				type: 'server-notice', server, isDraining: false, pause: rejectionPause(pauseOptions),
			});
		}

		return rejectionPause(pauseOptions);
	}

	#removeExpired(now: number): void {
		for (const [source, {at}] of this.#reports) {
			if (now - at > retentionMilliseconds) {
				this.#reports.delete(source);
			}
		}
	}
}
