import {type Clock, type InstanceId} from '@valehitch/core';
import {WorkDigest} from '@valehitch/routing';
import {MessageReaders} from './message-readers.js';
import {
	type WorkReply, type WorkReportMessage, type WorkSummaryMessage,
} from './peer-message.js';

/** Options of {@linkcode PoolWork}. */
export type PoolWorkOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Identifies this run of the process. */
	readonly run: string;
	/** The other control instances. */
	readonly others: () => readonly InstanceId[];
	/** Sends a summary to another control instance; resolves to undefined if it is not acknowledged within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: WorkSummaryMessage, timeout: number) => Promise<unknown>;
};

/** The interval between summaries to the other control instances, in milliseconds. */
const summaryMilliseconds = 100;
const askTimeoutMilliseconds = 500;

/**
The work of all entry instances at the backend servers: those that report to this control instance, and the summaries of the other control instances. It is kept in memory only.

@example
```ts
const work = new PoolWork(options);
work.start();
work.answer(entry, report);
```
*/
export class PoolWork {
	/** The other control instances that read summaries. */
	readonly summaryReaders = new MessageReaders();
	readonly #options: PoolWorkOptions;
	readonly #digest = new WorkDigest();
	#sequence = 0;
	#wasIdle = true;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: PoolWorkOptions) {
		this.#options = options;
	}

	/** Starts to send summaries. */
	start(): void {
		this.#timer = setInterval(() => {
			this.sendSummaries();
		}, summaryMilliseconds);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	Applies the report of an entry instance.

	@param from The entry instance.
	@param message The report.
	@returns The work of all other entry instances.
	*/
	answer(from: InstanceId, message: WorkReportMessage): WorkReply {
		const now = this.#options.clock.monotonic();
		this.#digest.receiveReport(from, message, now);
		const {rows, held, age} = this.#digest.others(from, now);
		return {rows, held, age};
	}

	/**
	Applies the summary of another control instance.

	@param from The control instance.
	@param message The summary.
	*/
	receive(from: InstanceId, message: WorkSummaryMessage): void {
		this.#digest.receiveSummary(from, message, this.#options.clock.monotonic());
	}

	/** Sends the other control instances the work of the entry instances that report to this one, and once that there is none. */
	sendSummaries(): void {
		const {clock, run, others} = this.#options;
		const summary = this.#digest.summary(clock.monotonic());
		const isIdle = summary.entries === 0;
		if (isIdle && this.#wasIdle) {
			return;
		}

		this.#wasIdle = isIdle;
		const message: WorkSummaryMessage = {
			type: 'work-summary', run, sequence: ++this.#sequence, ...summary,
		};
		for (const other of others()) {
			if (this.summaryReaders.has(other)) {
				void this.#send(other, message);
			}
		}
	}

	async #send(other: InstanceId, message: WorkSummaryMessage): Promise<void> {
		if (await this.#options.ask(other, message, askTimeoutMilliseconds) === undefined) {
			this.summaryReaders.forget(other);
		}
	}
}
