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
import {CopyReplicator} from './copy-replicator.js';
import {type LedgerOutbox} from './ledger-outbox.js';

/** Options of a {@linkcode BillStore}. */
export type BillStoreOptions = {
	readonly self: Member;
	/** Identifies the process of this instance; a restart changes it. */
	readonly runId: string;
	/** When this instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
	readonly clock: Clock;
	readonly outbox: LedgerOutbox;
	/** The active instances. */
	readonly members: () => readonly Member[];
	/** Sends a message to a holder and returns its reply. */
	readonly request: (to: Member, message: HoldBillsMessage) => Promise<Either<Failure, HoldBillsReply>>;
	/** The maximum number of bills that are open or not acknowledged by the ledger; beyond it, new requests are refused. 20,000 by default. */
	readonly maximumBills?: number;
	/** How long an instance that refused or did not reply is not chosen as a holder, in milliseconds; 5000 by default. */
	readonly avoidMilliseconds?: number;
};

type Entry = {
	copy: BillCopy;
	/** The replicator of the copy's holder; undefined if there is no holder. */
	replicator: CopyReplicator | undefined;
	/** Whether a holder for the copy is being sought. */
	isSeekingHolder: boolean;
};

const defaultMaximumBills = 20_000;
const defaultAvoidMilliseconds = 5000;
const maximumHolderAttempts = 3;
const retryAfterMilliseconds = 1000;

/**
Stores the bills of this instance from before the first dispatch until the ledger has acknowledged them, with a copy in another process.

@example
```ts
const opened = await bills.open({workspace, request, openedAt});
await bills.settle(bill);
```
*/
export class BillStore {
	readonly #options: BillStoreOptions;
	readonly #entries = new Map<RequestId, Entry>();
	readonly #replicators = new Map<InstanceId, CopyReplicator>();
	/** Until when each instance is not chosen as a holder, in milliseconds of the monotonic clock. */
	readonly #avoidedUntil = new Map<InstanceId, number>();
	#lastSequence = 0;

	constructor(options: BillStoreOptions) {
		this.#options = options;
	}

	/** The number of bills that are open or not acknowledged yet. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Opens a bill before the first dispatch of its request.

	@param opened The bill.
	@returns Nothing if another instance holds a copy or the ledger is reachable, otherwise a `no-quorum` failure.
	*/
	async open(opened: Omit<OpenBill, 'origin'>): Promise<Either<Failure, void>> {
		const {outbox, startedAt, maximumBills = defaultMaximumBills} = this.#options;
		if (this.#entries.size >= maximumBills) {
			return Left(failure('no-quorum', `Too many bills are waiting for the ledger: ${this.#entries.size} of at most ${maximumBills}`, {retryAfterMilliseconds}));
		}

		const bill: OpenBill = {...opened, origin: {startedAt, sequence: ++this.#lastSequence}};
		const entry: Entry = {copy: {state: 'open', bill}, replicator: undefined, isSeekingHolder: false};
		this.#entries.set(bill.request, entry);
		if (await this.#storeCopy(entry) || outbox.isReachable) {
			return Right(undefined);
		}

		this.#entries.delete(bill.request);
		return Left(failure('no-quorum', 'Neither another instance nor the ledger is available to store the bill', {retryAfterMilliseconds}));
	}

	/**
	Discards an open bill whose request provably did not run.

	@param request The request.
	*/
	discard(request: RequestId): void {
		this.#remove(request);
	}

	/**
	Settles an open bill.

	@param settled The bill.
	@returns Resolves when another instance or the ledger has the settled bill.
	@throws {RangeError} If the bill is not open.
	*/
	async settle(settled: Omit<Bill, 'origin'>): Promise<void> {
		const entry = this.#entries.get(settled.request);
		if (entry === undefined) {
			throw new RangeError(`Cannot settle the bill of request ${settled.request}: it is not open`);
		}

		const bill: Bill = {...settled, origin: entry.copy.bill.origin};
		entry.copy = {state: 'settled', bill};
		const recorded = this.#record(bill);
		const isHeld = await Promise.race([this.#storeCopy(entry), recorded.then(() => true)]);
		if (!isHeld) {
			this.#options.outbox.flush();
			await recorded;
		}
	}

	/**
	Takes over the settled bill of a lost instance and stores a copy in another process, as for a bill of this instance.

	@param bill The bill.
	*/
	adopt(bill: Bill): void {
		const entry: Entry = {copy: {state: 'settled', bill}, replicator: undefined, isSeekingHolder: false};
		this.#entries.set(bill.request, entry);
		void this.#record(bill);
		void this.#storeCopy(entry);
	}

	/** Renews the copies with their holders and replaces lost holders; called periodically. */
	renew(): void {
		const members = new Set(this.#options.members().map(({instance}) => instance));
		for (const [instance, replicator] of this.#replicators) {
			if (replicator.failed || !members.has(instance)) {
				this.#replicators.delete(instance);
			} else {
				replicator.renew();
			}
		}

		this.#replaceLostHolders();
	}

	/**
	Replies to a holder that asks which copies are still needed.

	@param message The question of the holder.
	@returns The copies that the holder must keep.
	*/
	answerOwned({requests}: OwnedBillsMessage): OwnedBillsReply {
		return {start: this.#options.runId, needed: requests.filter(request => this.#entries.has(request))};
	}

	async #record(bill: Bill): Promise<void> {
		await this.#options.outbox.add(bill);
		this.#remove(bill.request);
	}

	#remove(request: RequestId): void {
		this.#entries.get(request)?.replicator?.drop(request);
		this.#entries.delete(request);
	}

	/** Finds new holders for copies without a current one. */
	#replaceLostHolders(): void {
		for (const entry of this.#entries.values()) {
			if (!entry.isSeekingHolder && (entry.replicator === undefined || !this.#isCurrent(entry.replicator))) {
				void this.#storeCopy(entry);
			}
		}
	}

	#isCurrent(replicator: CopyReplicator): boolean {
		return !replicator.failed && [...this.#replicators.values()].includes(replicator);
	}

	async #storeCopy(entry: Entry): Promise<boolean> {
		entry.isSeekingHolder = true;
		let isHeld = false;
		for (let attempt = 0; attempt < maximumHolderAttempts && !isHeld; attempt++) {
			const replicator = entry.replicator !== undefined && this.#isCurrent(entry.replicator) ? entry.replicator : this.#chooseReplicator();
			if (replicator === undefined) {
				break;
			}

			entry.replicator = replicator;
			isHeld = await replicator.put(entry.copy);
		}

		entry.isSeekingHolder = false;
		const {request} = entry.copy.bill;
		if (this.#entries.get(request) !== entry) {
			entry.replicator?.drop(request);
		}

		return isHeld;
	}

	#chooseReplicator(): CopyReplicator | undefined {
		const {members, self} = this.#options;
		const holder = chooseHolder(members(), {self, excluded: this.#excluded()});
		if (holder === undefined) {
			return undefined;
		}

		const existing = this.#replicators.get(holder.instance);
		return existing === undefined || existing.failed ? this.#createReplicator(holder) : existing;
	}

	#createReplicator(holder: Member): CopyReplicator {
		const {self, runId, request, clock, avoidMilliseconds = defaultAvoidMilliseconds} = this.#options;
		const replicator = new CopyReplicator({
			self: self.instance,
			runId,
			request: async message => request(holder, message),
			onFailed: () => {
				this.#avoidedUntil.set(holder.instance, clock.monotonic() + avoidMilliseconds);
				this.#replaceLostHolders();
			},
		});
		this.#replicators.set(holder.instance, replicator);
		return replicator;
	}

	#excluded(): ReadonlySet<InstanceId> {
		const now = this.#options.clock.monotonic();
		for (const [instance, until] of this.#avoidedUntil) {
			if (until <= now) {
				this.#avoidedUntil.delete(instance);
			}
		}

		return new Set(this.#avoidedUntil.keys());
	}
}
