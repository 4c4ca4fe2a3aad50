import {type Digest} from './digest.js';

/** What one side of a link says to the other about a digest. */
export type DigestPart<Item> = {
	/** Tells two starts of the sender apart. */
	readonly incarnation: number;
	/** The sender's change after which the records begin. */
	readonly since: number;
	/** The sender's last change that the records reach. */
	readonly change: number;
	readonly records: ReadonlyArray<readonly [string, Item]>;
	/** The incarnation and the change of the receiver that the sender holds. */
	readonly held: readonly [incarnation: number, change: number];
	/** The hash over all records of the sender; only while the receiver's state is not known. */
	readonly hash?: number | undefined;
};

/** What a link needs. */
export type DigestLinkOptions<Item> = {
	readonly digest: Digest<Item>;
	readonly incarnation: number;
	/** The neighbour. */
	readonly peer: string;
};

/**
One side of the exchange of a digest with a neighbour: only what changed goes over, and what got lost goes again.

Each side says which change of the other it holds. After a new start of either side the hashes are compared first, and all
records go over only where they differ.

@example
```ts
const reply = await ask(peer, link.outgoing());
link.incoming(reply);
```
*/
export class DigestLink<Item> {
	readonly #options: DigestLinkOptions<Item>;
	#held: readonly [incarnation: number, change: number] = [0, 0];
	/** The own change that the peer holds; undefined while it is not known. */
	#confirmed: number | undefined;

	constructor(options: DigestLinkOptions<Item>) {
		this.#options = options;
	}

	/** Whether the neighbour holds every change. */
	get isSettled(): boolean {
		return this.#confirmed === this.#options.digest.change;
	}

	/** What to say to the neighbour next. */
	outgoing(): DigestPart<Item> {
		const {digest, incarnation} = this.#options;
		const known = this.#confirmed;
		return {
			incarnation,
			since: known ?? 0,
			change: digest.change,
			records: known === undefined ? [] : digest.since(known, {except: this.#source(this.#held[0])}),
			held: this.#held,
			...(known === undefined && {hash: digest.hash}),
		};
	}

	/**
	Takes what the neighbour said.

	@param part What it said.
	@returns The keys of the records that were news here.
	*/
	incoming(part: DigestPart<Item>): string[] {
		const {digest, incarnation} = this.#options;
		const isSame = part.hash !== undefined && part.hash === digest.hash;
		const [heldIncarnation, heldChange] = part.held;
		if (heldIncarnation === incarnation) {
			this.#confirmed = Math.min(heldChange, digest.change);
		} else {
			this.#confirmed = isSame ? digest.change : 0;
		}

		const news: string[] = [];
		for (const [key, item] of part.records) {
			if (digest.merge(key, {item, source: this.#source(part.incarnation)})) {
				news.push(key);
			}
		}

		this.#held = [part.incarnation, this.#heldAfter(part, isSame)];
		return news;
	}

	/** The sender's change that is held after a part; not beyond a gap, such as after a new start of this side. */
	#heldAfter(part: DigestPart<Item>, isSame: boolean): number {
		const before = this.#held[0] === part.incarnation ? this.#held[1] : 0;
		const [heldIncarnation] = part.held;
		// What came from an earlier start of this side is left out of the records, though this start does not hold it.
		const leavesOutMore = heldIncarnation !== 0 && heldIncarnation !== this.#options.incarnation;
		const hasGap = part.hash !== undefined || part.since > before || leavesOutMore;
		return hasGap && !isSame ? before : Math.max(before, part.change);
	}

	#source(incarnation: number): string {
		return `${this.#options.peer}/${incarnation}`;
	}
}
