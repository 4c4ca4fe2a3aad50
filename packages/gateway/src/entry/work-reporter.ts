import {
	type Clock, type InstanceId, type RandomSource, type ZoneId,
} from '@valehitch/core';
import {type AgedWork, workExpiryMilliseconds, type WorkSums} from '@valehitch/routing';
import {type MessageReaders} from '../control/message-readers.js';
import {type WorkReply, type WorkReportMessage} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';

/** Options of {@linkcode WorkReporter}. */
export type WorkReporterOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	readonly zone: ZoneId;
	/** Identifies this run of the process. */
	readonly run: string;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'workReports' | 'pictureAge'>;
	/** The watched control instances that read reports. */
	readonly controls: Pick<MessageReaders, 'near' | 'has' | 'forget'>;
	/** Returns all work of this instance. */
	readonly ownWork: () => WorkSums;
	/** Reports to a control instance; resolves to undefined if it does not reply within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: WorkReportMessage, timeout: number) => Promise<WorkReply | undefined>;
};

/** The work of the other entry instances, and when it was as old as stated, in milliseconds on the monotonic clock. */
export type ReceivedWork = Omit<AgedWork, 'entries'> & {
	readonly at: number;
};

/** The mean interval between reports while the work changes, or while one is unanswered, in milliseconds. */
const reportMilliseconds = 150;
/** The share of the interval by which it varies, so that the instances do not report at the same time. */
const jitter = 0.5;
/** The mean interval between reports of unchanged work, in milliseconds; its picture stays younger than its limit by the age of the reports that a reply sums up. */
const repeatMilliseconds = 600;
/** The longest delay of a due report that the next one makes up for, in milliseconds. */
const maximumDelay = 100;
/** How long an instance without work goes on reporting, in milliseconds. */
const idleMilliseconds = 3000;
/** The timeout of a report, in milliseconds. A late reply counts, and further reports do not wait for it. */
const timeoutMilliseconds = 900;
/** The time without a reply after which another control instance is used, in milliseconds: short enough that the picture is not lost before. */
const patienceMilliseconds = 900;

/**
Reports the work of an entry instance to one control instance, whose replies tell the work of all others. It stays with that control instance until a report is not answered.

@example
```ts
const reporter = new WorkReporter(options);
reporter.recordChange();
reporter.flush();
reporter.latest;
```
*/
export class WorkReporter {
	readonly #options: WorkReporterOptions;
	#latest: ReceivedWork | undefined;
	#control: InstanceId | undefined;
	/** Since when the control instance owes a reply, in milliseconds on the monotonic clock; undefined if it does not. */
	#unansweredSince: number | undefined;
	#sequence = 0;
	/** The last report that was answered. */
	#answered = 0;
	#sentAt = Number.NEGATIVE_INFINITY;
	/** The factor by which the interval until the next report differs from the mean. */
	#variation = 1;
	/** When there was last any work, in milliseconds on the monotonic clock. */
	#busyAt = Number.NEGATIVE_INFINITY;
	#hasChanged = false;
	#hadLatest = false;

	constructor(options: WorkReporterOptions) {
		this.#options = options;
	}

	/** The last reply; undefined if it is too old. */
	get latest(): ReceivedWork | undefined {
		return this.latestAt(this.#options.clock.monotonic());
	}

	/** The mean age of what the last reply tells, in milliseconds; infinite if the reply is too old. */
	get age(): number {
		const {latest} = this;
		return latest === undefined ? Number.POSITIVE_INFINITY : this.#options.clock.monotonic() - latest.at + latest.age;
	}

	/**
	Returns the last reply.

	@param now Milliseconds on the monotonic clock.
	@returns The reply; undefined if it is too old.
	*/
	latestAt(now: number): ReceivedWork | undefined {
		return this.#latest !== undefined && now - this.#latest.at <= workExpiryMilliseconds ? this.#latest : undefined;
	}

	/** Records that the work of this instance has changed. */
	recordChange(): void {
		this.#hasChanged = true;
	}

	/** Reports the work if it is time to. */
	flush(): void {
		const {random, ownWork, clock} = this.#options;
		const now = clock.monotonic();
		this.#logState(now);
		const dueAt = this.#sentAt + this.#interval;
		if (now < dueAt) {
			return;
		}

		const work = ownWork();
		// Work that has come and gone since the last report counts as well.
		if (work.rows.length > 0 || work.held.length > 0 || this.#hasChanged) {
			this.#busyAt = now;
		}

		const control = this.#isBusy(now) ? this.#chooseControl(now) : undefined;
		if (control !== undefined) {
			this.#sentAt = Math.max(dueAt, now - maximumDelay);
			this.#variation = 1 + (jitter * (random() - 0.5));
			// Work that is held back changes without being recorded.
			this.#hasChanged = work.held.length > 0;
			void this.#report(control, work, now);
		}
	}

	get #interval(): number {
		return this.#variation * (this.#hasChanged || this.#unansweredSince !== undefined ? reportMilliseconds : repeatMilliseconds);
	}

	/** Stays with a control instance while it answers, unless there is a nearer one. */
	#chooseControl(now: number): InstanceId | undefined {
		const {controls, random, zone} = this.#options;
		const left = this.#control;
		const mayAnswer = left !== undefined && controls.has(left);
		if (mayAnswer && now - (this.#unansweredSince ?? now) > patienceMilliseconds) {
			controls.forget(left);
		}

		const known = controls.near(zone);
		if (left !== undefined && known.includes(left)) {
			return left;
		}

		this.#control = known[Math.floor(random() * known.length)];
		this.#unansweredSince = undefined;
		if (mayAnswer) {
			// If it merely answers late, the work would count twice.
			void this.#ask(left, {rows: [], held: []});
		}

		return this.#control;
	}

	async #report(control: InstanceId, work: WorkSums, now: number): Promise<void> {
		const {metrics} = this.#options;
		const sequence = this.#sequence + 1;
		this.#unansweredSince ??= now;
		const reply = await this.#ask(control, work);
		metrics.workReports.inc({result: reply === undefined ? 'lost' : 'answered'});
		if (reply === undefined || sequence < this.#answered) {
			return;
		}

		this.#answered = sequence;
		this.#latest = {...reply, at: now};
		if (control === this.#control) {
			// Later reports, if there are any, are still unanswered.
			this.#unansweredSince = sequence === this.#sequence ? undefined : now;
		}
	}

	async #ask(control: InstanceId, work: WorkSums): Promise<WorkReply | undefined> {
		const {run, ask} = this.#options;
		return ask(control, {
			type: 'work-report', run, sequence: ++this.#sequence, ...work,
		}, timeoutMilliseconds);
	}

	#isBusy(now: number): boolean {
		return now - this.#busyAt <= idleMilliseconds;
	}

	/** Logs that the digest is lost or regained; an instance without work needs none. */
	#logState(now: number): void {
		const {log, metrics} = this.#options;
		const hasLatest = this.latest !== undefined;
		if (hasLatest) {
			metrics.pictureAge.set(this.age / 1000);
		}

		if (hasLatest === this.#hadLatest || (!hasLatest && !this.#isBusy(now))) {
			return;
		}

		this.#hadLatest = hasLatest;
		log(hasLatest ? 'pool-digest-regained' : 'pool-digest-lost', {
			control: this.#control, silentFor: this.#latest === undefined ? undefined : Math.round(now - this.#latest.at),
		}, 'warn');
	}
}
