import {type Command, type CommandAnswer} from '@valehitch/control';
import {type Bill, type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type Timeline} from '../timeline.js';

/** What the outbox needs. */
export type BillOutboxOptions = {
	readonly propose: (command: Command) => Promise<Either<Failure, CommandAnswer>>;
	readonly timeline: Timeline;
	/** Milliseconds to wait before bills are sent again. */
	readonly retryMilliseconds: number;
};

type Waiting = {
	readonly bill: Bill;
	readonly onRecorded: () => void;
};

const batchSize = 200;

/**
Sends settled bills to the ledger in batches until they are acknowledged.

@example
```ts
await outbox.settle(bill);
```
*/
export class BillOutbox {
	readonly #options: BillOutboxOptions;
	#waiting: Waiting[] = [];
	#sending = false;

	constructor(options: BillOutboxOptions) {
		this.#options = options;
	}

	/** How many bills are not acknowledged yet. */
	get size(): number {
		return this.#waiting.length;
	}

	/**
	Settles a bill.

	@param bill The bill.
	@returns When the ledger has it.
	*/
	async settle(bill: Bill): Promise<void> {
		this.#options.timeline.record('bill-settled', {requestId: bill.request, workspace: bill.workspace, details: {total: bill.total, outcome: bill.outcome}});
		return new Promise(resolve => {
			this.#waiting.push({bill, onRecorded: resolve});
			void this.#send();
		});
	}

	async #send(): Promise<void> {
		if (this.#sending) {
			return;
		}

		this.#sending = true;
		while (this.#waiting.length > 0) {
			const batch = this.#waiting.slice(0, batchSize);
			const result = await this.#options.propose({type: 'record-bills', bills: batch.map(({bill}) => bill)});
			if (result.isLeft()) {
				await new Promise(resolve => {
					setTimeout(resolve, this.#options.retryMilliseconds);
				});
				continue;
			}

			this.#waiting = this.#waiting.slice(batch.length);
			for (const {onRecorded} of batch) {
				onRecorded();
			}
		}

		this.#sending = false;
	}
}
