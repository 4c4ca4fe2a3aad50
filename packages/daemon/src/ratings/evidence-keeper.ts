import {type EffectiveConfiguration, type InstanceId, toId} from '@valehitch/core';
import {
	type BadVersionAlarm, type BadVersionSettingsByMeasure, EvidenceTable, QualityBook,
} from '@valehitch/policy';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';

/** What the leader's side of the ratings works with. */
export type EvidenceKeeperOptions = {
	readonly instance: InstanceId;
	/** When the instance became leader, in milliseconds since 1970. */
	readonly startedAt: number;
	/** Milliseconds since 1970. */
	readonly now: () => number;
	/** Told of each version that is bad by the evidence of all instances; proposes `stop-version`. */
	readonly onAlarm: (alarm: BadVersionAlarm) => void;
	/** When a version counts as bad; `defaultBadVersionSettings` unless given. */
	readonly badVersions?: BadVersionSettingsByMeasure;
};

const mostEntries = 100_000;

/**
The leader's side of the ratings: adds the summaries of all instances up and decides on bad versions for all; a new leader starts with an empty one.

@example
```ts
const reply = keeper.take(summary);
keeper.table.evidence(target, progress.stageStartedAt).ratings;
```
*/
export class EvidenceKeeper {
	readonly table: EvidenceTable;
	readonly #options: EvidenceKeeperOptions;
	readonly #book: QualityBook;

	constructor(options: EvidenceKeeperOptions) {
		this.#options = options;
		this.#book = new QualityBook({instance: toId<InstanceId>(`${options.instance}/evidence`), startedAt: options.startedAt, maximumEntries: mostEntries});
		this.table = new EvidenceTable(options.badVersions);
	}

	/**
	Takes the summary of an instance, this one's own included.

	@param summary The summary; one that comes twice changes nothing.
	@returns The sums of the other instances for the estimates in it.
	*/
	take(summary: RatingSummary): RatingSummaryReply {
		const {onAlarm, now} = this.#options;
		this.#book.merge(summary);
		for (const report of summary.evidence) {
			const alarm = this.table.merge(report);
			if (alarm !== undefined) {
				onAlarm(alarm);
			}
		}

		return {others: this.#book.others([...summary.entries, ...summary.asked], {except: summary, now: now()})};
	}

	/**
	Drops what has faded and what is no longer configured; called every few minutes.

	@param configuration The configuration in force.
	*/
	tidy(configuration: EffectiveConfiguration): void {
		this.#book.forget(this.#options.now());
		this.table.retain(configuration);
	}
}
