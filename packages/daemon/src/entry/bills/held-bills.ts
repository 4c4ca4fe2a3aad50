import {
	type Bill, type Clock, type InstanceId, type Micros, type RequestId,
} from '@valehitch/core';
import {type HoldBillsMessage, type HoldBillsReply, type OwnedBillsReply} from '../messages.js';
import {type BillCopy, mergeCopies} from './bill-copy.js';

/** What the holder of copies needs. */
export type HeldBillsOptions = {
	readonly clock: Clock;
	/** The most copies that are held. */
	readonly maximumCopies: number;
	/** Milliseconds of silence after which an owner that is no member any more counts as lost. */
	readonly lostAfterMilliseconds: number;
	/** Takes each bill that is settled for a lost owner. */
	readonly onRecovered: (bill: Bill) => void;
};

/** An owner that was silent for long, and the copies held for it. */
export type SilentOwner = {
	readonly owner: InstanceId;
	readonly requests: readonly RequestId[];
};

type Owner = {
	readonly start: string;
	readonly copies: Map<RequestId, BillCopy>;
	heardAt: number;
};

/**
Holds the copies of other instances' bills, and settles them when their owner is lost.

A copy that was still open is settled with the outcome `unknown` and without a charge: nobody can show that its answer was delivered.

@example
```ts
const reply = held.hold(message);
held.recover(new Set(members.map(({instance}) => instance)));
```
*/
export class HeldBills {
	readonly #options: HeldBillsOptions;
	readonly #owners = new Map<InstanceId, Owner>();
	#stopping = false;

	constructor(options: HeldBillsOptions) {
		this.#options = options;
	}

	/** How many copies are held. */
	get size(): number {
		let total = 0;
		for (const {copies} of this.#owners.values()) {
			total += copies.size;
		}

		return total;
	}

	/** Begins a planned stop: owners are told to have their copies held elsewhere. */
	stop(): void {
		this.#stopping = true;
	}

	/**
	Changes the copies held for an owner.

	@param message What the owner wants held.
	@returns Whether it is held, and how many copies there are.
	*/
	hold(message: HoldBillsMessage): HoldBillsReply {
		const owner = this.#ownerOf(message);
		owner.heardAt = this.#options.clock.monotonic();
		if (message.complete) {
			owner.copies.clear();
		}

		for (const request of message.dropped) {
			owner.copies.delete(request);
		}

		const added = message.opened.length + message.settled.length;
		if (this.#stopping || this.size + added > this.#options.maximumCopies) {
			this.#release(message.owner);
			return {accepted: false, count: 0};
		}

		mergeCopies(owner.copies, message);
		return {accepted: true, count: owner.copies.size};
	}

	/**
	Settles the copies of each owner that is lost.

	@param members The instances that are there.
	*/
	recover(members: ReadonlySet<InstanceId>): void {
		const silentSince = this.#options.clock.monotonic() - this.#options.lostAfterMilliseconds;
		for (const [instance, owner] of this.#owners) {
			if (owner.copies.size === 0) {
				this.#owners.delete(instance);
			} else if (!members.has(instance) && owner.heardAt <= silentSince) {
				this.#settleAll(instance);
			}
		}
	}

	/** The owners to ask whether they still need their copies held. */
	silent(): readonly SilentOwner[] {
		const silentSince = this.#options.clock.monotonic() - this.#options.lostAfterMilliseconds;
		const found: SilentOwner[] = [];
		for (const [owner, {copies, heardAt}] of this.#owners) {
			if (copies.size > 0 && heardAt <= silentSince) {
				found.push({owner, requests: [...copies.keys()]});
			}
		}

		return found;
	}

	/**
	Takes the answer of an owner that was silent; one that restarted does not know its earlier bills.

	@param asked The owner and what it was asked about.
	@param reply What it said.
	*/
	takeReply({owner: instance, requests}: SilentOwner, reply: OwnedBillsReply): void {
		const owner = this.#owners.get(instance);
		if (owner === undefined) {
			return;
		}

		if (owner.start !== reply.start) {
			this.#settleAll(instance);
			return;
		}

		owner.heardAt = this.#options.clock.monotonic();
		const needed = new Set(reply.needed);
		for (const request of requests) {
			if (!needed.has(request)) {
				owner.copies.delete(request);
			}
		}
	}

	#ownerOf({owner: instance, start}: HoldBillsMessage): Owner {
		const known = this.#owners.get(instance);
		if (known?.start === start) {
			return known;
		}

		this.#settleAll(instance);
		const owner: Owner = {start, copies: new Map(), heardAt: 0};
		this.#owners.set(instance, owner);
		return owner;
	}

	/** The owner holds its bills and finds another holder. */
	#release(instance: InstanceId): void {
		this.#owners.delete(instance);
	}

	#settleAll(instance: InstanceId): void {
		const copies = this.#owners.get(instance)?.copies ?? new Map<RequestId, BillCopy>();
		this.#owners.delete(instance);
		for (const copy of copies.values()) {
			this.#options.onRecovered(copy.state === 'settled' ? copy.bill : this.#unknown(instance, copy));
		}
	}

	#unknown(instance: InstanceId, {bill}: BillCopy & {state: 'open'}): Bill {
		return {
			workspace: bill.workspace,
			request: bill.request,
			instance,
			origin: bill.origin,
			lines: [],
			total: 0 as Micros,
			outcome: 'unknown',
			settledAt: this.#options.clock.now().getTime(),
		};
	}
}
