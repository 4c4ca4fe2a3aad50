import {
	type Bill, type Failure, type InstanceId, type RequestId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type HoldBillsMessage, type HoldBillsReply, type OpenBill} from '../messages.js';
import {type BillCopy, groupCopies} from './bill-copy.js';

/** Options of a {@linkcode CopyReplicator}. */
export type CopyReplicatorOptions = {
	readonly self: InstanceId;
	/** Identifies the process of this instance; a restart changes it. */
	readonly runId: string;
	/** Sends a message to the holder and returns its reply. */
	readonly request: (message: HoldBillsMessage) => Promise<Either<Failure, HoldBillsReply>>;
	/** Called once, when the holder refused or did not reply. */
	readonly onFailed: () => void;
};

type Changes = {
	readonly opened: readonly OpenBill[];
	readonly settled: readonly Bill[];
	readonly dropped: readonly RequestId[];
};

const maximumChanges = 500;

/**
Replicates bill copies to one holder. Only one message is in flight at a time; changes made in the meantime are sent together in the next one.

@example
```ts
const isHeld = await replicator.put({state: 'open', bill});
```
*/
export class CopyReplicator {
	readonly #options: CopyReplicatorOptions;
	readonly #copies = new Map<RequestId, BillCopy>();
	readonly #changed = new Set<RequestId>();
	#pendingPuts: Array<{readonly request: RequestId; readonly resolve: (isHeld: boolean) => void}> = [];
	#sending = false;
	#failed = false;

	constructor(options: CopyReplicatorOptions) {
		this.#options = options;
	}

	/** Whether the holder refused or did not reply; a failed replicator cannot be used again. */
	get failed(): boolean {
		return this.#failed;
	}

	/** The number of copies that the holder should have. */
	get size(): number {
		return this.#copies.size;
	}

	/**
	Stores a copy on the holder, replacing an earlier one of the same request.

	@param copy The copy.
	@returns Whether the holder accepted the copy.
	*/
	async put(copy: BillCopy): Promise<boolean> {
		if (this.#failed) {
			return false;
		}

		const {request} = copy.bill;
		this.#copies.set(request, copy);
		this.#changed.add(request);
		return new Promise(resolve => {
			this.#pendingPuts.push({request, resolve});
			void this.#send();
		});
	}

	/**
	Drops a copy; the holder is informed with the next message.

	@param request The request of the bill.
	*/
	drop(request: RequestId): void {
		if (this.#copies.delete(request)) {
			this.#changed.add(request);
		}
	}

	/** Sends a message even without changes, which shows the holder that this instance is alive and reveals whether the holder lost copies. */
	renew(): void {
		if (this.#copies.size > 0 || this.#changed.size > 0) {
			void this.#send();
		}
	}

	async #send(): Promise<void> {
		if (this.#sending || this.#failed) {
			return;
		}

		this.#sending = true;
		let isComplete = false;
		do {
			const reply = await this.#sendOnce(isComplete);
			if (reply === undefined) {
				this.#fail();
				return;
			}

			isComplete = !isComplete && this.#changed.size === 0 && reply.count !== this.#copies.size;
		} while (isComplete || this.#changed.size > 0);

		this.#sending = false;
	}

	async #sendOnce(isComplete: boolean): Promise<HoldBillsReply | undefined> {
		const requests = isComplete ? [...this.#copies.keys()] : [...this.#changed].slice(0, maximumChanges);
		for (const request of requests) {
			this.#changed.delete(request);
		}

		const sent = new Set(requests);
		const pendingPuts = this.#pendingPuts.filter(({request}) => sent.has(request));
		this.#pendingPuts = this.#pendingPuts.filter(({request}) => !sent.has(request));
		const reply = await this.#options.request({
			scope: 'entry', type: 'hold-bills', owner: this.#options.self, start: this.#options.runId, ...this.#changesOf(requests), complete: isComplete,
		});
		const accepted = reply.toMaybe().filter(body => body.accepted).extract();
		for (const {resolve} of pendingPuts) {
			resolve(accepted !== undefined);
		}

		return accepted;
	}

	#changesOf(requests: readonly RequestId[]): Changes {
		const copies: BillCopy[] = [];
		const dropped: RequestId[] = [];
		for (const request of requests) {
			const copy = this.#copies.get(request);
			if (copy === undefined) {
				dropped.push(request);
			} else {
				copies.push(copy);
			}
		}

		return {...groupCopies(copies), dropped};
	}

	#fail(): void {
		this.#failed = true;
		this.#copies.clear();
		for (const {resolve} of this.#pendingPuts.splice(0)) {
			resolve(false);
		}

		this.#options.onFailed();
	}
}
