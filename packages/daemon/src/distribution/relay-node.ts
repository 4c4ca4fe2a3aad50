import {type InstanceId} from '@valehitch/core';
import {
	type ConfigurationRelay, type Digest, DigestExchange, type DigestMessage, type LoadRecord,
} from '@valehitch/membership';
import {type ConfigurationStore} from './configuration-store.js';
import {
	type Exchange, type ExchangeParts, type ExchangeReply, type SharedRecord,
} from './messages.js';
import {unpackConfiguration} from './pack-configuration.js';

/** Options of a {@linkcode RelayNode}. */
export type RelayNodeOptions = {
	readonly configurations: ConfigurationStore;
	readonly relay: ConfigurationRelay;
	readonly records: Digest<SharedRecord>;
	readonly loads: Digest<LoadRecord>;
	readonly incarnation: number;
	/** Returns the interval at which loads are sent to a peer, in milliseconds; longer between zones. */
	readonly loadIntervalMilliseconds: (peer: InstanceId) => number;
	readonly onRecords: (keys: readonly string[], from: InstanceId) => void;
	readonly onLoads: (servers: readonly string[]) => void;
	/** Called when an exchange activated a higher revision. */
	readonly onRevision: (from: InstanceId) => void;
};

/** An exchange whose reply is pending. */
export type PendingExchange = {
	readonly exchange: Exchange;
	/** When the exchange was sent, in milliseconds of the monotonic clock. */
	readonly sentAt: number;
};

type Link = {
	readonly records: DigestExchange<SharedRecord>;
	readonly loads: DigestExchange<LoadRecord>;
	/** When loads were last sent, in milliseconds of the monotonic clock. */
	loadsAt: number;
	/** The newest revision reported by the peer. */
	peerRevision: number;
	usedAt: number;
};

const idleLinkMilliseconds = 60_000;

/**
One node's side of exchanges, as a parent and as a child. It has no timers and does not send messages itself.

@example
```ts
const pending = node.begin(parent, now);
node.finish(pending, {parent, reply, now});
```
*/
export class RelayNode {
	readonly #options: RelayNodeOptions;
	readonly #links = new Map<InstanceId, Link>();

	constructor(options: RelayNodeOptions) {
		this.#options = options;
	}

	/**
	Begins an exchange with a parent.

	@param parent The parent.
	@param now The monotonic time.
	@returns The exchange to send.
	*/
	begin(parent: InstanceId, now: number): PendingExchange {
		const link = this.#linkTo(parent, now);
		const parts = this.#partsFor(link, {now, withLoads: this.#areLoadsDue(parent, link, now)});
		return {exchange: {question: this.#options.relay.createRequest(now, parent), ...parts}, sentAt: now};
	}

	/**
	Processes the reply of a parent.

	@param pending The exchange.
	@param answer The parent, its reply, and the monotonic time.
	@returns Whether the reply granted a lease.
	*/
	finish({exchange, sentAt}: PendingExchange, {parent, reply, now}: {readonly parent: InstanceId; readonly reply: ExchangeReply; readonly now: number}): boolean {
		const {grant} = reply;
		this.#apply(parent, reply, now);
		this.#activateNewest(parent, {granted: grant !== undefined});
		return grant !== undefined && this.#options.relay.acceptGrant({request: exchange.question, sentAt, grant});
	}

	/**
	Replies to the exchange of a child.

	@param exchange The exchange.
	@param now The monotonic time.
	@returns The reply, without the leader.
	*/
	answer(exchange: Exchange, now: number): ExchangeReply {
		const child = exchange.question.instance;
		this.#apply(child, exchange, now);
		const grant = this.#options.relay.grantLease(exchange.question, now);
		const link = this.#linkTo(child, now);
		const parts = this.#partsFor(link, {now, withLoads: exchange.loads !== undefined});
		return {...parts, ...(grant !== undefined && {grant})};
	}

	/**
	Returns whether a peer has all members, all servers and the configuration of this node.

	@param peer The peer.
	*/
	isSettled(peer: InstanceId): boolean {
		const link = this.#links.get(peer);
		return link !== undefined && link.records.isSynchronized && link.peerRevision >= this.#options.configurations.revision;
	}

	/**
	Removes the state of peers that were not used for a minute.

	@param now The monotonic time.
	*/
	prune(now: number): void {
		for (const [peer, {usedAt}] of this.#links) {
			if (now - usedAt > idleLinkMilliseconds) {
				this.#links.delete(peer);
			}
		}
	}

	#apply(peer: InstanceId, parts: ExchangeParts, now: number): void {
		const {configurations, onRecords, onLoads} = this.#options;
		const link = this.#linkTo(peer, now);
		link.peerRevision = parts.revision;
		if (parts.configuration !== undefined) {
			configurations.offer(unpackConfiguration(parts.configuration));
			this.#activateNewest(peer, {granted: false});
		}

		const changedKeys = link.records.receive(parts.records);
		if (changedKeys.length > 0) {
			onRecords(changedKeys, peer);
		}

		if (parts.loads !== undefined) {
			onLoads(link.loads.receive(parts.loads));
		}
	}

	#activateNewest(from: InstanceId, options: {readonly granted: boolean}): void {
		if (this.#options.configurations.activateNewest(options)) {
			this.#options.onRevision(from);
		}
	}

	#partsFor(link: Link, {now, withLoads}: {readonly now: number; readonly withLoads: boolean}): ExchangeParts {
		const {configurations} = this.#options;
		if (withLoads) {
			link.loadsAt = now;
		}

		const loads: DigestMessage<LoadRecord> | undefined = withLoads ? link.loads.createMessage() : undefined;
		return {
			revision: configurations.revision,
			records: link.records.createMessage(),
			...(configurations.revision > link.peerRevision && {configuration: configurations.packed}),
			...(loads !== undefined && {loads}),
		};
	}

	#areLoadsDue(peer: InstanceId, {loadsAt}: Link, now: number): boolean {
		return now - loadsAt >= this.#options.loadIntervalMilliseconds(peer);
	}

	#linkTo(peer: InstanceId, now: number): Link {
		const existing = this.#links.get(peer);
		if (existing !== undefined) {
			existing.usedAt = now;
			return existing;
		}

		const {records, loads, incarnation} = this.#options;
		const link: Link = {
			records: new DigestExchange({digest: records, incarnation, peer}),
			loads: new DigestExchange({digest: loads, incarnation, peer}),
			loadsAt: Number.NEGATIVE_INFINITY,
			// The configuration is not sent to a peer before the peer has reported its revision.
			peerRevision: Number.POSITIVE_INFINITY,
			usedAt: now,
		};
		this.#links.set(peer, link);
		return link;
	}
}
