import {type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {type SuspectBook, type SuspectRecord} from '@valehitch/routing';
import {type SuspectsMessage} from '../control/peer-message.js';

/** What the reports need. */
export type SuspectReporterOptions = {
	readonly book: Pick<SuspectBook, 'get' | 'told'>;
	/** Tells a control instance; whether it said that it has it within the timeout in milliseconds. */
	readonly tell: (to: InstanceId, message: SuspectsMessage, timeout: number) => Promise<boolean>;
};

type Host = {
	readonly run: string;
	readonly pending: Set<RequestFingerprint>;
	isTelling: boolean;
};

/** A control instance answers at once; one that did not in this time is told again with its next news. In milliseconds. */
const tellMilliseconds = 600;

/**
Tells the control instances that this entry instance asks what it learned of requests that end servers: at once, since such a request is at the next instance within half a second.

With the questions alone it would wait for the answer to the one in progress, 0.8 s.

@example
```ts
const reporter = new SuspectReporter({book, tell});
reporter.hear(control, run);
reporter.note(fingerprint);
```
*/
export class SuspectReporter {
	readonly #options: SuspectReporterOptions;
	readonly #hosts = new Map<InstanceId, Host>();

	constructor(options: SuspectReporterOptions) {
		this.#options = options;
	}

	/**
	Notes that a control instance gave news; one that is new here, or has started anew, is told all that others know too.

	@param host The control instance.
	@param run Names the run of its process.
	*/
	hear(host: InstanceId, run: string): void {
		if (this.#hosts.get(host)?.run === run) {
			return;
		}

		this.#hosts.set(host, {run, pending: new Set(this.#options.book.told.map(({fingerprint}) => fingerprint)), isTelling: false});
		void this.#tell(host);
	}

	/**
	Tells of a request of which something was learned here.

	@param fingerprint The request.
	*/
	note(fingerprint: RequestFingerprint): void {
		for (const [host, {pending}] of this.#hosts) {
			pending.add(fingerprint);
			void this.#tell(host);
		}
	}

	/** Tells what is pending; what is learned meanwhile goes together with the next message. */
	async #tell(to: InstanceId): Promise<void> {
		const host = this.#hosts.get(to);
		if (host === undefined || host.isTelling) {
			return;
		}

		host.isTelling = true;
		while (host.pending.size > 0) {
			const records = this.#take(host);
			if (!await this.#options.tell(to, {type: 'suspects', records, isRelayed: false}, tellMilliseconds)) {
				this.#forget(to, host);
				return;
			}
		}

		host.isTelling = false;
	}

	#take({pending}: Host): readonly SuspectRecord[] {
		const records: SuspectRecord[] = [];
		for (const fingerprint of pending) {
			const record = this.#options.book.get(fingerprint);
			if (record !== undefined) {
				records.push(record);
			}
		}

		pending.clear();
		return records;
	}

	/** With its next news it is new here. */
	#forget(to: InstanceId, host: Host): void {
		if (this.#hosts.get(to) === host) {
			this.#hosts.delete(to);
		}
	}
}
