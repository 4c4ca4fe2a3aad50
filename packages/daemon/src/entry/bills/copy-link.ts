import {
	type Bill, type Failure, type InstanceId, type RequestId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type HoldBillsMessage, type HoldBillsReply, type OpenBill} from '../messages.js';
import {type BillCopy, splitCopies} from './bill-copy.js';

/** What a link to a holder needs. */
export type CopyLinkOptions = {
	readonly self: InstanceId;
	/** Tells this start of the instance from another. */
	readonly start: string;
	/** Sends a message to the holder and waits for its reply. */
	readonly request: (message: HoldBillsMessage) => Promise<Either<Failure, HoldBillsReply>>;
	/** Called once, when the holder refused or did not answer. */
	readonly onFailed: () => void;
};

type Changes = {
	readonly opened: readonly OpenBill[];
	readonly settled: readonly Bill[];
	readonly dropped: readonly RequestId[];
};

const maximumChanges = 500;

/**
Keeps one holder's copies current, with one message on its way at a time: changes that come meanwhile share the next message.

@example
```ts
const isHeld = await link.put({state: 'open', bill});
```
*/
export class CopyLink {
	readonly #options: CopyLinkOptions;
	readonly #held = new Map<RequestId, BillCopy>();
	readonly #changed = new Set<RequestId>();
	#waiting: Array<{readonly request: RequestId; readonly resolve: (isHeld: boolean) => void}> = [];
	#sending = false;
	#failed = false;

	constructor(options: CopyLinkOptions) {
		this.#options = options;
	}

	/** Whether the holder refused or did not answer; the link is of no more use. */
	get failed(): boolean {
		return this.#failed;
	}

	/** How many copies the holder has. */
	get size(): number {
		return this.#held.size;
	}

	/**
	Has a copy held, in place of an earlier one of the same request.

	@param copy The copy.
	@returns Whether it is held.
	*/
	async put(copy: BillCopy): Promise<boolean> {
		if (this.#failed) {
			return false;
		}

		const {request} = copy.bill;
		this.#held.set(request, copy);
		this.#changed.add(request);
		return new Promise(resolve => {
			this.#waiting.push({request, resolve});
			void this.#send();
		});
	}

	/**
	Gives a copy up; the holder hears of it with the next message.

	@param request The request of the bill.
	*/
	drop(request: RequestId): void {
		if (this.#held.delete(request)) {
			this.#changed.add(request);
		}
	}

	/** Shows the holder that this instance is there, and finds out whether it lost the copies. */
	renew(): void {
		if (this.#held.size > 0 || this.#changed.size > 0) {
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

			isComplete = !isComplete && this.#changed.size === 0 && reply.count !== this.#held.size;
		} while (isComplete || this.#changed.size > 0);

		this.#sending = false;
	}

	async #sendOnce(isComplete: boolean): Promise<HoldBillsReply | undefined> {
		const requests = isComplete ? [...this.#held.keys()] : [...this.#changed].slice(0, maximumChanges);
		for (const request of requests) {
			this.#changed.delete(request);
		}

		const sent = new Set(requests);
		const waiting = this.#waiting.filter(({request}) => sent.has(request));
		this.#waiting = this.#waiting.filter(({request}) => !sent.has(request));
		const reply = await this.#options.request({
			scope: 'entry', type: 'hold-bills', owner: this.#options.self, start: this.#options.start, ...this.#changesOf(requests), complete: isComplete,
		});
		const accepted = reply.toMaybe().filter(found => found.accepted).extract();
		for (const {resolve} of waiting) {
			resolve(accepted !== undefined);
		}

		return accepted;
	}

	#changesOf(requests: readonly RequestId[]): Changes {
		const copies: BillCopy[] = [];
		const dropped: RequestId[] = [];
		for (const request of requests) {
			const copy = this.#held.get(request);
			if (copy === undefined) {
				dropped.push(request);
			} else {
				copies.push(copy);
			}
		}

		return {...splitCopies(copies), dropped};
	}

	#fail(): void {
		this.#failed = true;
		this.#held.clear();
		for (const {resolve} of this.#waiting.splice(0)) {
			resolve(false);
		}

		this.#options.onFailed();
	}
}
