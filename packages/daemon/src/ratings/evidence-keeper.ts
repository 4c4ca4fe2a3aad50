import {type EffectiveConfiguration, type InstanceId, toId} from '@valehitch/core';
import {
	type BadVersionAlarm, type BadVersionSettingsByMeasure, EvidenceTable, QualityBook,
} from '@valehitch/policy';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';

/** The dependencies of an `EvidenceAggregator`. */
export type EvidenceKeeperOptions = {
	readonly instance: InstanceId;
	/** When the instance became leader, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	/** Returns the current time, in milliseconds since the Unix epoch. */
	readonly now: () => number;
	/** Called with each version that the evidence of all instances shows to be bad; should lead to a `stop-version` command. */
	readonly onAlarm: (alarm: BadVersionAlarm) => void;
	/** The settings of the bad-version tests; `defaultBadVersionSettings` by default. */
	readonly badVersions?: BadVersionSettingsByMeasure;
};

const maximumEntries = 100_000;

/**
Aggregates the rating summaries of all instances on the leader and detects bad versions from the sums. A new leader starts with an empty aggregator.

@example
```ts
const reply = aggregator.mergeSummary(summary);
aggregator.table.evidence(target, progress.stageStartedAt).ratings;
```
*/
export class EvidenceKeeper {
	readonly table: EvidenceTable;
	readonly #options: EvidenceKeeperOptions;
	readonly #book: QualityBook;

	constructor(options: EvidenceKeeperOptions) {
		this.#options = options;
		this.#book = new QualityBook({instance: toId<InstanceId>(`${options.instance}/evidence`), startedAt: options.startedAt, maximumEntries});
		this.table = new EvidenceTable(options.badVersions);
	}

	/**
	Merges the summary of an instance, which may be the leader itself.

	@param summary The summary; merging it again has no effect.
	@returns The sums over the other instances for the estimates in the summary.
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
	Removes entries whose weight has decayed and versions that are no longer configured. Call this every few minutes.

	@param configuration The current configuration.
	*/
	tidy(configuration: EffectiveConfiguration): void {
		this.#book.forget(this.#options.now());
		this.table.retain(configuration);
	}
}
