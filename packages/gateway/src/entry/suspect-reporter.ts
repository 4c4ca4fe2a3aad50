import {type InstanceId, type SuspectFingerprint} from '@valehitch/core';
import {type SuspectRegistry, type SuspectRecord} from '@valehitch/routing';
import {type SuspectsMessage} from '../control/peer-message.js';

/** Options of {@linkcode SuspectReporter}. */
export type SuspectReporterOptions = {
	readonly registry: Pick<SuspectRegistry, 'get' | 'sharedRecords'>;
	/** Sends a report to a control instance; resolves to whether it was acknowledged within the timeout in milliseconds. */
	readonly send: (to: InstanceId, message: SuspectsMessage, timeout: number) => Promise<boolean>;
};

type ReportTarget = {
	readonly run: string;
	readonly pending: Set<SuspectFingerprint>;
	isSending: boolean;
};

/** The timeout of a report, in milliseconds. Control instances acknowledge reports immediately; if one does not, it gets the full report again after its next reply to a watch request. */
const reportTimeoutMilliseconds = 600;

/**
Reports requests and parts of prompts that crash servers to the watched control instances. Reports are sent immediately, because such requests reach the next instance within half a second.

Sent along with the watch requests, a report would have to wait up to 0.8 s for the reply to the one in progress.

@example
```ts
const reporter = new SuspectReporter({registry, send});
reporter.addControl(control, run);
reporter.report(fingerprint);
```
*/
export class SuspectReporter {
	readonly #options: SuspectReporterOptions;
	readonly #targets = new Map<InstanceId, ReportTarget>();

	constructor(options: SuspectReporterOptions) {
		this.#options = options;
	}

	/**
	Records that a control instance replied. If it is not known yet or has restarted, all records that are shared with control instances are reported to it.

	@param target The control instance.
	@param run Identifies the run of its process.
	*/
	addControl(target: InstanceId, run: string): void {
		if (this.#targets.get(target)?.run === run) {
			return;
		}

		this.#targets.set(target, {run, pending: new Set(this.#options.registry.sharedRecords.map(({fingerprint}) => fingerprint)), isSending: false});
		void this.#sendPending(target);
	}

	/**
	Reports a request or a part of prompts whose record was changed by this instance.

	@param fingerprint The request or the part.
	*/
	report(fingerprint: SuspectFingerprint): void {
		for (const [target, {pending}] of this.#targets) {
			pending.add(fingerprint);
			void this.#sendPending(target);
		}
	}

	/** Sends the pending records. Records that are added while a message is in flight are sent together in the next one. */
	async #sendPending(to: InstanceId): Promise<void> {
		const target = this.#targets.get(to);
		if (target === undefined || target.isSending) {
			return;
		}

		target.isSending = true;
		while (target.pending.size > 0) {
			const records = this.#takePending(target);
			if (!await this.#options.send(to, {type: 'suspects', records, isRelayed: false}, reportTimeoutMilliseconds)) {
				this.#remove(to, target);
				return;
			}
		}

		target.isSending = false;
	}

	#takePending({pending}: ReportTarget): readonly SuspectRecord[] {
		const records: SuspectRecord[] = [];
		for (const fingerprint of pending) {
			const record = this.#options.registry.get(fingerprint);
			if (record !== undefined) {
				records.push(record);
			}
		}

		pending.clear();
		return records;
	}

	/** Removes a control instance, so that it gets the full report when it next replies. */
	#remove(to: InstanceId, target: ReportTarget): void {
		if (this.#targets.get(to) === target) {
			this.#targets.delete(to);
		}
	}
}
