import {
	type Bill, type Clock, type InstanceId, type Micros, type RequestId,
} from '@valehitch/core';
import {type HoldBillsMessage, type HoldBillsReply, type OwnedBillsReply} from '../messages.js';
import {type BillCopy, mergeCopies} from './bill-copy.js';

/** Options of a {@linkcode BillCopyStore}. */
export type BillCopyStoreOptions = {
	readonly clock: Clock;
	/** The maximum number of copies. */
	readonly maximumCopies: number;
	/** How long an owner may send nothing, in milliseconds, before it is asked about its copies or, if it is not an active member any more, considered lost. */
	readonly lostAfterMilliseconds: number;
	/** Called with each bill that is settled for a lost owner. */
	readonly onRecovered: (bill: Bill) => void;
};

/** An owner that has not sent updates for a while, and the copies held for it. */
export type SilentOwner = {
	readonly owner: InstanceId;
	readonly requests: readonly RequestId[];
};

type Owner = {
	readonly start: string;
	readonly copies: Map<RequestId, BillCopy>;
	lastContactAt: number;
};

/**
Holds copies of other instances' bills and settles them when their owner is lost.

A copy that is still open is settled with the outcome `unknown` and without a charge, since there is no proof that the answer was delivered.

@example
```ts
const reply = copies.hold(message);
copies.recover(new Set(members.map(({instance}) => instance)));
```
*/
export class BillCopyStore {
	readonly #options: BillCopyStoreOptions;
	readonly #owners = new Map<InstanceId, Owner>();
	#stopping = false;

	constructor(options: BillCopyStoreOptions) {
		this.#options = options;
	}

	/** The number of copies held. */
	get size(): number {
		let total = 0;
		for (const {copies} of this.#owners.values()) {
			total += copies.size;
		}

		return total;
	}

	/** Begins a graceful shutdown: further updates are refused, so that owners choose another holder. */
	stop(): void {
		this.#stopping = true;
	}

	/**
	Updates the copies held for an owner.

	@param message The changes of the owner.
	@returns Whether the changes were accepted, and the number of copies of the owner.
	*/
	hold(message: HoldBillsMessage): HoldBillsReply {
		const owner = this.#ownerOf(message);
		owner.lastContactAt = this.#options.clock.monotonic();
		if (message.complete) {
			owner.copies.clear();
		}

		for (const request of message.dropped) {
			owner.copies.delete(request);
		}

		const added = message.opened.length + message.settled.length;
		if (this.#stopping || this.size + added > this.#options.maximumCopies) {
			this.#dropOwner(message.owner);
			return {accepted: false, count: 0};
		}

		mergeCopies(owner.copies, message);
		return {accepted: true, count: owner.copies.size};
	}

	/**
	Settles the copies of each lost owner.

	@param members The active instances.
	*/
	recover(members: ReadonlySet<InstanceId>): void {
		const silentSince = this.#options.clock.monotonic() - this.#options.lostAfterMilliseconds;
		for (const [instance, owner] of this.#owners) {
			if (owner.copies.size === 0) {
				this.#owners.delete(instance);
			} else if (!members.has(instance) && owner.lastContactAt <= silentSince) {
				this.#settleAll(instance);
			}
		}
	}

	/** Returns the owners that must be asked which copies they still need. */
	silentOwners(): readonly SilentOwner[] {
		const silentSince = this.#options.clock.monotonic() - this.#options.lostAfterMilliseconds;
		const found: SilentOwner[] = [];
		for (const [owner, {copies, lastContactAt}] of this.#owners) {
			if (copies.size > 0 && lastContactAt <= silentSince) {
				found.push({owner, requests: [...copies.keys()]});
			}
		}

		return found;
	}

	/**
	Applies the reply of a silent owner. An owner that has restarted does not have its earlier bills, so they are settled here.

	@param asked The owner and the requests it was asked about.
	@param reply The reply of the owner.
	*/
	handleReply({owner: instance, requests}: SilentOwner, reply: OwnedBillsReply): void {
		const owner = this.#owners.get(instance);
		if (owner === undefined) {
			return;
		}

		if (owner.start !== reply.start) {
			this.#settleAll(instance);
			return;
		}

		owner.lastContactAt = this.#options.clock.monotonic();
		const needed = new Set(reply.needed);
		for (const request of requests) {
			if (!needed.has(request)) {
				owner.copies.delete(request);
			}
		}
	}

	#ownerOf({owner: instance, start}: HoldBillsMessage): Owner {
		const existing = this.#owners.get(instance);
		if (existing?.start === start) {
			return existing;
		}

		this.#settleAll(instance);
		const owner: Owner = {start, copies: new Map(), lastContactAt: 0};
		this.#owners.set(instance, owner);
		return owner;
	}

	/** Drops the copies of an owner, which still has its bills and chooses another holder. */
	#dropOwner(instance: InstanceId): void {
		this.#owners.delete(instance);
	}

	#settleAll(instance: InstanceId): void {
		const copies = this.#owners.get(instance)?.copies ?? new Map<RequestId, BillCopy>();
		this.#owners.delete(instance);
		for (const copy of copies.values()) {
			this.#options.onRecovered(copy.state === 'settled' ? copy.bill : this.#toUnknownBill(instance, copy));
		}
	}

	#toUnknownBill(instance: InstanceId, {bill}: BillCopy & {state: 'open'}): Bill {
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
