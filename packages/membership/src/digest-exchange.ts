import {type Digest} from './digest.js';

/** A message with the changes of one side of an exchange. */
export type DigestMessage<Item> = {
	/** Distinguishes different starts of the sender. */
	readonly incarnation: number;
	/** The sender's change number after which the records begin. */
	readonly since: number;
	/** The sender's last change number that the records cover. */
	readonly change: number;
	readonly records: ReadonlyArray<readonly [string, Item]>;
	/** The receiver's incarnation and change number up to which the sender has received its changes. */
	readonly held: readonly [incarnation: number, change: number];
	/** The hash over all records of the sender. Only present while the receiver's state is unknown. */
	readonly hash?: number | undefined;
};

/** Options of `DigestExchange`. */
export type DigestExchangeOptions<Item> = {
	readonly digest: Digest<Item>;
	readonly incarnation: number;
	/** The name of the peer. */
	readonly peer: string;
};

/**
One side of a digest exchange with a peer. Only changes are sent, and lost changes are sent again.

Each side acknowledges the change number up to which it has received the other's changes. After a restart of either side, hashes are
compared first, and all records are sent only if the hashes differ.

@example
```ts
const reply = await sendTo(peer, exchange.createMessage());
exchange.receive(reply);
```
*/
export class DigestExchange<Item> {
	readonly #options: DigestExchangeOptions<Item>;
	#receivedUpTo: readonly [incarnation: number, change: number] = [0, 0];
	/** The change number up to which the peer has received this side's changes. Undefined while unknown. */
	#peerChange: number | undefined;

	constructor(options: DigestExchangeOptions<Item>) {
		this.#options = options;
	}

	/** Whether the peer has received all changes. */
	get isSynchronized(): boolean {
		return this.#peerChange === this.#options.digest.change;
	}

	/** Creates the next message to the peer. */
	createMessage(): DigestMessage<Item> {
		const {digest, incarnation} = this.#options;
		const peerChange = this.#peerChange;
		return {
			incarnation,
			since: peerChange ?? 0,
			change: digest.change,
			records: peerChange === undefined ? [] : digest.changesSince(peerChange, {except: this.#source(this.#receivedUpTo[0])}),
			held: this.#receivedUpTo,
			...(peerChange === undefined && {hash: digest.hash}),
		};
	}

	/**
	Merges a message from the peer.

	@param message The message.
	@returns The keys of the records that changed.
	*/
	receive(message: DigestMessage<Item>): string[] {
		const {digest, incarnation} = this.#options;
		const hasEqualRecords = message.hash !== undefined && message.hash === digest.hash;
		const [heldIncarnation, heldChange] = message.held;
		if (heldIncarnation === incarnation) {
			this.#peerChange = Math.min(heldChange, digest.change);
		} else {
			this.#peerChange = hasEqualRecords ? digest.change : 0;
		}

		const changedKeys: string[] = [];
		for (const [key, item] of message.records) {
			if (digest.merge(key, {item, source: this.#source(message.incarnation)})) {
				changedKeys.push(key);
			}
		}

		this.#receivedUpTo = [message.incarnation, this.#receivedAfter(message, hasEqualRecords)];
		return changedKeys;
	}

	/** Returns the change number up to which the sender's changes are held after a message. Does not advance across a gap, such as after a restart of this side. */
	#receivedAfter(message: DigestMessage<Item>, hasEqualRecords: boolean): number {
		const previous = this.#receivedUpTo[0] === message.incarnation ? this.#receivedUpTo[1] : 0;
		const [heldIncarnation] = message.held;
		// The sender omits records that came from an earlier start of this side, although this start does not have them.
		const omitsRecords = heldIncarnation !== 0 && heldIncarnation !== this.#options.incarnation;
		const hasGap = message.hash !== undefined || message.since > previous || omitsRecords;
		return hasGap && !hasEqualRecords ? previous : Math.max(previous, message.change);
	}

	#source(incarnation: number): string {
		return `${this.#options.peer}/${incarnation}`;
	}
}
