import {type Command, type CommandResponse} from '@valehitch/control';
import {type Bill, type Failure, type RequestId} from '@valehitch/core';
import {type Either} from 'purify-ts';

/** Options of a {@linkcode LedgerOutbox}. */
export type LedgerOutboxOptions = {
	readonly propose: (command: Command) => Promise<Either<Failure, CommandResponse>>;
	/** Waits for the batching delay, so that bills share a command, or for the retry delay, so that a failed command is not sent again at once. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** How long bills are collected for one command, in milliseconds; 100 by default. */
	readonly batchMilliseconds?: number;
	/** The retry delay after a failed command, in milliseconds; 250 by default. */
	readonly retryMilliseconds?: number;
};

type PendingBill = {
	readonly bill: Bill;
	readonly onRecorded: () => void;
};

const batchSize = 200;
const defaultBatchMilliseconds = 100;
const defaultRetryMilliseconds = 250;

/**
Sends settled bills to the ledger in batches and retries until they are acknowledged.

@example
```ts
await outbox.add(bill);
```
*/
export class LedgerOutbox {
	readonly #options: LedgerOutboxOptions;
	readonly #pending = new Map<RequestId, PendingBill>();
	#sending = false;
	/** Ends the batching delay early. */
	#endBatchDelay: (() => void) | undefined;
	#isReachable = true;
	#closed = false;

	constructor(options: LedgerOutboxOptions) {
		this.#options = options;
	}

	/** The number of bills that are not acknowledged yet. */
	get size(): number {
		return this.#pending.size;
	}

	/** Whether the ledger acknowledged the last batch. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/**
	Adds a settled bill to the outbox.

	@param bill The bill.
	@returns Resolves when the ledger has acknowledged the bill.
	*/
	async add(bill: Bill): Promise<void> {
		return new Promise(resolve => {
			this.#pending.set(bill.request, {bill, onRecorded: resolve});
			void this.#send();
		});
	}

	/** Sends the pending batch without the rest of its delay, since a caller is waiting for it. */
	flush(): void {
		this.#endBatchDelay?.();
	}

	/** Stops sending and retrying. */
	close(): void {
		this.#closed = true;
	}

	async #send(): Promise<void> {
		if (this.#sending) {
			return;
		}

		this.#sending = true;
		while (this.#pending.size > 0 && !this.#closed) {
			await (this.#isReachable ? this.#waitForBatch() : this.#options.wait(this.#options.retryMilliseconds ?? defaultRetryMilliseconds));
			await this.#sendBatch([...this.#pending.values()].slice(0, batchSize));
		}

		this.#sending = false;
	}

	async #waitForBatch(): Promise<void> {
		const {wait, batchMilliseconds = defaultBatchMilliseconds} = this.#options;
		const flushed = new Promise<void>(resolve => {
			this.#endBatchDelay = resolve;
		});
		await Promise.race([wait(batchMilliseconds), flushed]);
		this.#endBatchDelay = undefined;
	}

	async #sendBatch(batch: readonly PendingBill[]): Promise<void> {
		const result = await this.#options.propose({type: 'record-bills', bills: batch.map(({bill}) => bill)});
		this.#isReachable = result.isRight();
		if (!this.#isReachable) {
			return;
		}

		for (const {bill, onRecorded} of batch) {
			this.#pending.delete(bill.request);
			onRecorded();
		}
	}
}
