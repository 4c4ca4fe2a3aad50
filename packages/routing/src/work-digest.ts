import {type InstanceId} from '@valehitch/core';
import {WorkParts} from './work-parts.js';
import {type WorkPart, type WorkSums} from './work-row.js';
import {WorkTotals} from './work-totals.js';

/** The work of some entry instances, with its age. */
export type AgedWork = WorkSums & {
	/** The number of entry instances that have any work. */
	readonly entries: number;
	/** The mean age of what is known of them, in milliseconds; 0 if none has any work. */
	readonly age: number;
};

/**
What one control instance knows of the work of all entry instances: the reports of those that report to it, and the sums that the other control instances send.

It answers the load of hundreds of entry instances that choose among the same servers: each hears of all others by one message, whose size depends on the number of servers alone.

@example
```ts
const digest = new WorkDigest();
digest.receiveReport(entry, report, now);
digest.receiveSummary(control, summary, now);
digest.others(entry, now);
```
*/
export class WorkDigest {
	readonly #reports = new WorkParts();
	readonly #summaries = new WorkParts();

	/**
	Applies the report of an entry instance.

	@param from The entry instance.
	@param report All its work.
	@param now Milliseconds on the monotonic clock.
	*/
	receiveReport(from: InstanceId, report: WorkPart, now: number): void {
		this.#reports.receive(from, report, now);
	}

	/**
	Applies the summary of another control instance.

	@param from The control instance.
	@param summary The work of the entry instances that report to it.
	@param now Milliseconds on the monotonic clock.
	*/
	receiveSummary(from: InstanceId, summary: WorkPart, now: number): void {
		this.#summaries.receive(from, summary, now);
	}

	/**
	Sums up the entry instances that report to this control instance.

	@param now Milliseconds on the monotonic clock.
	@returns Their work.
	*/
	summary(now: number): AgedWork {
		this.#reports.expire(now);
		return {...this.#reports.sums, ...meanAge([this.#reports.ages(now)])};
	}

	/**
	Sums up all entry instances but one.

	@param entry The entry instance that is left out.
	@param now Milliseconds on the monotonic clock.
	@returns The work of the others.
	*/
	others(entry: InstanceId, now: number): AgedWork {
		this.#reports.expire(now);
		this.#summaries.expire(now);
		const totals = new WorkTotals();
		totals.apply(this.#reports.sums, 1);
		totals.apply(this.#summaries.sums, 1);
		totals.apply(this.#reports.get(entry) ?? {rows: [], held: []}, -1);
		return {...totals.sums, ...meanAge([this.#reports.ages(now), this.#summaries.ages(now)])};
	}
}

/** The oldest report says little of hundreds; the mean tells how old a server's sum is. */
function meanAge(ages: ReadonlyArray<{readonly entries: number; readonly age: number}>): Pick<AgedWork, 'entries' | 'age'> {
	let entries = 0;
	let age = 0;
	for (const part of ages) {
		entries += part.entries;
		age += part.age;
	}

	return {entries, age: entries === 0 ? 0 : age / entries};
}
