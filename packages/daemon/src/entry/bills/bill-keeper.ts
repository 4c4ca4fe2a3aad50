import {
	type Bill, type Clock, type Failure, failure, type InstanceId, type RequestId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type Member} from '../../member.js';
import {
	type HoldBillsMessage, type HoldBillsReply, type OpenBill, type OwnedBillsMessage, type OwnedBillsReply,
} from '../messages.js';
import {type BillCopy} from './bill-copy.js';
import {chooseHolder} from './choose-holder.js';
import {CopyLink} from './copy-link.js';
import {type LedgerOutbox} from './ledger-outbox.js';

/** What the keeper of this instance's bills needs. */
export type BillKeeperOptions = {
	readonly self: Member;
	/** Tells this start of the instance from another. */
	readonly start: string;
	/** When this instance started, in milliseconds since 1970. */
	readonly startedAt: number;
	readonly clock: Clock;
	readonly outbox: LedgerOutbox;
	/** The instances that are there. */
	readonly members: () => readonly Member[];
	/** Sends a message to a holder and waits for its reply. */
	readonly request: (to: Member, message: HoldBillsMessage) => Promise<Either<Failure, HoldBillsReply>>;
	/** The most bills that may wait for the ledger; above it, new requests are refused. 20 000 by default. */
	readonly maximumBills?: number;
	/** Milliseconds for which an instance that refused or did not answer is passed over; 5000 by default. */
	readonly avoidMilliseconds?: number;
};

type Entry = {
	copy: BillCopy;
	/** Where the copy is held; undefined where it is not. */
	link: CopyLink | undefined;
	/** Whether a place for the copy is being looked for. */
	isPlacing: boolean;
};

const defaultMaximumBills = 20_000;
const defaultAvoidMilliseconds = 5000;
const holdersTried = 3;
const retryAfterMilliseconds = 1000;

/**
Keeps this instance's bills from before the first dispatch until the ledger has them, with a copy in another process.

@example
```ts
const opened = await keeper.open({workspace, request, openedAt});
await keeper.settle(bill);
```
*/
export class BillKeeper {
	readonly #options: BillKeeperOptions;
	readonly #entries = new Map<RequestId, Entry>();
	readonly #links = new Map<InstanceId, CopyLink>();
	/** Until when an instance is passed over, on the monotonic clock. */
	readonly #avoided = new Map<InstanceId, number>();
	#lastSequence = 0;

	constructor(options: BillKeeperOptions) {
		this.#options = options;
	}

	/** How many bills are open or not acknowledged yet. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Opens a bill, before the first dispatch of its request.

	@param opened The bill.
	@returns Nothing where a copy is held or the ledger can take its place, else `no-quorum`.
	*/
	async open(opened: Omit<OpenBill, 'origin'>): Promise<Either<Failure, void>> {
		const {outbox, startedAt, maximumBills = defaultMaximumBills} = this.#options;
		if (this.#entries.size >= maximumBills) {
			return Left(failure('no-quorum', `Got ${this.#entries.size} bills that wait for the ledger, wanted fewer than ${maximumBills}`, {retryAfterMilliseconds}));
		}

		const bill: OpenBill = {...opened, origin: {startedAt, sequence: ++this.#lastSequence}};
		const entry: Entry = {copy: {state: 'open', bill}, link: undefined, isPlacing: false};
		this.#entries.set(bill.request, entry);
		if (await this.#place(entry) || outbox.isReachable) {
			return Right(undefined);
		}

		this.#entries.delete(bill.request);
		return Left(failure('no-quorum', 'Got neither another instance nor the ledger to hold the bill, wanted one of them', {retryAfterMilliseconds}));
	}

	/**
	Gives up an open bill whose request provably did not run.

	@param request The request.
	*/
	discard(request: RequestId): void {
		this.#forget(request);
	}

	/**
	Settles an open bill.

	@param settled The bill.
	@returns When a second instance or the ledger has it.
	@throws If the bill is not open.
	*/
	async settle(settled: Omit<Bill, 'origin'>): Promise<void> {
		const entry = this.#entries.get(settled.request);
		if (entry === undefined) {
			throw new RangeError(`Got the settlement of request ${settled.request}, wanted that of an open bill`);
		}

		const bill: Bill = {...settled, origin: entry.copy.bill.origin};
		entry.copy = {state: 'settled', bill};
		const recorded = this.#record(bill);
		const isHeld = await Promise.race([this.#place(entry), recorded.then(() => true)]);
		if (!isHeld) {
			this.#options.outbox.hurry();
			await recorded;
		}
	}

	/**
	Takes over the settled bill of an instance that is lost, with a copy in another process like one of its own.

	@param bill The bill.
	*/
	adopt(bill: Bill): void {
		const entry: Entry = {copy: {state: 'settled', bill}, link: undefined, isPlacing: false};
		this.#entries.set(bill.request, entry);
		void this.#record(bill);
		void this.#place(entry);
	}

	/** Tells the holders that this instance is there, and finds new holders where one is lost; called every few seconds. */
	renew(): void {
		const members = new Set(this.#options.members().map(({instance}) => instance));
		for (const [instance, link] of this.#links) {
			if (link.failed || !members.has(instance)) {
				this.#links.delete(instance);
			} else {
				link.renew();
			}
		}

		this.#replace();
	}

	/**
	Answers a holder that asks whether copies are still needed.

	@param message What it asks about.
	@returns Which it is to keep.
	*/
	answerOwned({requests}: OwnedBillsMessage): OwnedBillsReply {
		return {start: this.#options.start, needed: requests.filter(request => this.#entries.has(request))};
	}

	async #record(bill: Bill): Promise<void> {
		await this.#options.outbox.add(bill);
		this.#forget(bill.request);
	}

	#forget(request: RequestId): void {
		this.#entries.get(request)?.link?.drop(request);
		this.#entries.delete(request);
	}

	/** Looks for places for the copies whose holder is lost. */
	#replace(): void {
		for (const entry of this.#entries.values()) {
			if (!entry.isPlacing && (entry.link === undefined || !this.#isCurrent(entry.link))) {
				void this.#place(entry);
			}
		}
	}

	#isCurrent(link: CopyLink): boolean {
		return !link.failed && [...this.#links.values()].includes(link);
	}

	async #place(entry: Entry): Promise<boolean> {
		entry.isPlacing = true;
		let isHeld = false;
		for (let tried = 0; tried < holdersTried && !isHeld; tried++) {
			const link = entry.link !== undefined && this.#isCurrent(entry.link) ? entry.link : this.#chooseLink();
			if (link === undefined) {
				break;
			}

			entry.link = link;
			isHeld = await link.put(entry.copy);
		}

		entry.isPlacing = false;
		const {request} = entry.copy.bill;
		if (this.#entries.get(request) !== entry) {
			entry.link?.drop(request);
		}

		return isHeld;
	}

	#chooseLink(): CopyLink | undefined {
		const {members, self} = this.#options;
		const holder = chooseHolder(members(), {self, excluded: this.#excluded()});
		if (holder === undefined) {
			return undefined;
		}

		const known = this.#links.get(holder.instance);
		return known === undefined || known.failed ? this.#openLink(holder) : known;
	}

	#openLink(holder: Member): CopyLink {
		const {self, start, request, clock, avoidMilliseconds = defaultAvoidMilliseconds} = this.#options;
		const link = new CopyLink({
			self: self.instance,
			start,
			request: async message => request(holder, message),
			onFailed: () => {
				this.#avoided.set(holder.instance, clock.monotonic() + avoidMilliseconds);
				this.#replace();
			},
		});
		this.#links.set(holder.instance, link);
		return link;
	}

	#excluded(): ReadonlySet<InstanceId> {
		const now = this.#options.clock.monotonic();
		for (const [instance, until] of this.#avoided) {
			if (until <= now) {
				this.#avoided.delete(instance);
			}
		}

		return new Set(this.#avoided.keys());
	}
}
