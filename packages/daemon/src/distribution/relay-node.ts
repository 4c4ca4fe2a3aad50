import {type InstanceId} from '@valehitch/core';
import {
	type ConfigurationRelay, type Digest, DigestLink, type DigestPart, type LoadRecord,
} from '@valehitch/membership';
import {type ConfigurationKeeper} from './configuration-keeper.js';
import {
	type Exchange, type ExchangeParts, type ExchangeReply, type SharedRecord,
} from './messages.js';
import {unpackConfiguration} from './pack-configuration.js';

/** What a relay node works with. */
export type RelayNodeOptions = {
	readonly keeper: ConfigurationKeeper;
	readonly relay: ConfigurationRelay;
	readonly records: Digest<SharedRecord>;
	readonly loads: Digest<LoadRecord>;
	readonly incarnation: number;
	/** Tells how long the loads of a link wait for each other, in milliseconds; longer between zones. */
	readonly loadIntervalMilliseconds: (peer: InstanceId) => number;
	readonly onNews: (keys: readonly string[], from: InstanceId) => void;
	readonly onLoads: (servers: readonly string[]) => void;
	/** Told when an exchange put a higher revision in force. */
	readonly onRevision: (from: InstanceId) => void;
};

/** An exchange that was begun. */
export type BegunExchange = {
	readonly exchange: Exchange;
	/** When the question was sent, on the monotonic clock. */
	readonly sentAt: number;
};

type Link = {
	readonly records: DigestLink<SharedRecord>;
	readonly loads: DigestLink<LoadRecord>;
	/** When loads went over last, on the monotonic clock. */
	loadsAt: number;
	/** The newest revision that the peer said it holds. */
	peerRevision: number;
	usedAt: number;
};

const idleLinkMilliseconds = 60_000;

/**
The node's side of exchanges, as parent and as child; has no timers and sends nothing itself.

@example
```ts
const begun = node.begin(parent, now);
node.finish(begun, {parent, reply, now});
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
	@returns What to send.
	*/
	begin(parent: InstanceId, now: number): BegunExchange {
		const link = this.#link(parent, now);
		const parts = this.#parts(link, {now, withLoads: this.#areLoadsDue(parent, link, now)});
		return {exchange: {question: this.#options.relay.question(now, parent), ...parts}, sentAt: now};
	}

	/**
	Takes a parent's answer.

	@param begun The exchange.
	@param answer The parent, what it answered, and the monotonic time.
	@returns Whether a lease came.
	*/
	finish({exchange, sentAt}: BegunExchange, {parent, reply, now}: {readonly parent: InstanceId; readonly reply: ExchangeReply; readonly now: number}): boolean {
		const {grant} = reply;
		this.#take(parent, reply, now);
		this.#settle(parent, {granted: grant !== undefined});
		return grant !== undefined && this.#options.relay.take({question: exchange.question, sentAt, grant});
	}

	/**
	Answers a child's exchange.

	@param exchange What it said.
	@param now The monotonic time.
	@returns The answer, without the leader.
	*/
	answer(exchange: Exchange, now: number): ExchangeReply {
		const child = exchange.question.instance;
		this.#take(child, exchange, now);
		const grant = this.#options.relay.answer(exchange.question, now);
		const link = this.#link(child, now);
		const parts = this.#parts(link, {now, withLoads: exchange.loads !== undefined});
		return {...parts, ...(grant !== undefined && {grant})};
	}

	/**
	Tells whether a neighbour holds all members, servers and the configuration that are held here.

	@param peer The neighbour.
	*/
	isSettled(peer: InstanceId): boolean {
		const link = this.#links.get(peer);
		return link !== undefined && link.records.isSettled && link.peerRevision >= this.#options.keeper.revision;
	}

	/**
	Forgets the neighbours that were not heard of for a minute.

	@param now The monotonic time.
	*/
	prune(now: number): void {
		for (const [peer, {usedAt}] of this.#links) {
			if (now - usedAt > idleLinkMilliseconds) {
				this.#links.delete(peer);
			}
		}
	}

	#take(peer: InstanceId, parts: ExchangeParts, now: number): void {
		const {keeper, onNews, onLoads} = this.#options;
		const link = this.#link(peer, now);
		link.peerRevision = parts.revision;
		if (parts.configuration !== undefined) {
			keeper.offer(unpackConfiguration(parts.configuration));
			this.#settle(peer, {granted: false});
		}

		const news = link.records.incoming(parts.records);
		if (news.length > 0) {
			onNews(news, peer);
		}

		if (parts.loads !== undefined) {
			onLoads(link.loads.incoming(parts.loads));
		}
	}

	#settle(from: InstanceId, options: {readonly granted: boolean}): void {
		if (this.#options.keeper.settle(options)) {
			this.#options.onRevision(from);
		}
	}

	#parts(link: Link, {now, withLoads}: {readonly now: number; readonly withLoads: boolean}): ExchangeParts {
		const {keeper} = this.#options;
		if (withLoads) {
			link.loadsAt = now;
		}

		const loads: DigestPart<LoadRecord> | undefined = withLoads ? link.loads.outgoing() : undefined;
		return {
			revision: keeper.revision,
			records: link.records.outgoing(),
			...(keeper.revision > link.peerRevision && {configuration: keeper.packed}),
			...(loads !== undefined && {loads}),
		};
	}

	#areLoadsDue(peer: InstanceId, {loadsAt}: Link, now: number): boolean {
		return now - loadsAt >= this.#options.loadIntervalMilliseconds(peer);
	}

	#link(peer: InstanceId, now: number): Link {
		const known = this.#links.get(peer);
		if (known !== undefined) {
			known.usedAt = now;
			return known;
		}

		const {records, loads, incarnation} = this.#options;
		const link: Link = {
			records: new DigestLink({digest: records, incarnation, peer}),
			loads: new DigestLink({digest: loads, incarnation, peer}),
			loadsAt: Number.NEGATIVE_INFINITY,
			// Nothing is pushed to a neighbour before it has said what it holds.
			peerRevision: Number.POSITIVE_INFINITY,
			usedAt: now,
		};
		this.#links.set(peer, link);
		return link;
	}
}
