import {type InstanceId} from '@valehitch/core';
import {type WorkPart, type WorkSums} from './work-row.js';
import {WorkTotals} from './work-totals.js';

type ReceivedPart = WorkPart & {
	/** When it was received, in milliseconds on the monotonic clock. */
	readonly at: number;
};

/** The time without a report after which the work of an instance no longer counts, in milliseconds. Five reports in a row have to be lost before that. */
export const workExpiryMilliseconds = 1500;

/**
The latest work that each of some instances reported, and its sums.

@example
```ts
const parts = new WorkParts();
parts.receive(entry, {run, sequence: 1, rows, held: []}, now);
parts.expire(now);
parts.sums;
```
*/
export class WorkParts {
	readonly #parts = new Map<InstanceId, ReceivedPart>();
	readonly #totals = new WorkTotals();

	/** The sums over all instances. */
	get sums(): WorkSums {
		return this.#totals.sums;
	}

	/**
	Replaces the work of an instance, unless the report is a repeated one or older than the last.

	@param from The instance.
	@param part Its work.
	@param now Milliseconds on the monotonic clock.
	*/
	receive(from: InstanceId, part: WorkPart, now: number): void {
		const known = this.#parts.get(from);
		if (known?.run === part.run && known.sequence >= part.sequence) {
			return;
		}

		this.#remove(from);
		this.#parts.set(from, {...part, at: now});
		this.#totals.apply(part, 1);
	}

	/**
	Returns the last report of an instance.

	@param from The instance.
	@returns The report; undefined if there is none.
	*/
	get(from: InstanceId): WorkPart | undefined {
		return this.#parts.get(from);
	}

	/**
	Removes the work of instances that stopped to report.

	@param now Milliseconds on the monotonic clock.
	*/
	expire(now: number): void {
		for (const [from, {at}] of this.#parts) {
			if (now - at > workExpiryMilliseconds) {
				this.#remove(from);
			}
		}
	}

	/**
	Counts the entry instances that have any work, and adds up the ages of what is known of them.

	@param now Milliseconds on the monotonic clock.
	@returns The number of entry instances, and the sum of the ages in milliseconds.
	*/
	ages(now: number): {readonly entries: number; readonly age: number} {
		let entries = 0;
		let age = 0;
		for (const part of this.#parts.values()) {
			if (part.rows.length > 0 || part.held.length > 0) {
				const {entries: count = 1, age: ageAtSend = 0} = part;
				entries += count;
				age += count * (now - part.at + ageAtSend);
			}
		}

		return {entries, age};
	}

	#remove(from: InstanceId): void {
		const part = this.#parts.get(from);
		if (part !== undefined) {
			this.#totals.apply(part, -1);
			this.#parts.delete(from);
		}
	}
}
