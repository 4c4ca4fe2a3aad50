import {type EffectiveConfiguration, type InstanceId, toId} from '@valehitch/core';
import {
	type BadVersionAlarm, type BadVersionSettingsByMeasure, EvidenceAggregator, QualityStore,
} from '@valehitch/policy';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';

/** The dependencies of an `EvidenceCollector`. */
export type EvidenceCollectorOptions = {
	readonly instance: InstanceId;
	/** When the instance became leader, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** Returns the current Unix time in milliseconds. */
	readonly now: () => number;
	/** Called with each version that the evidence of all instances shows to be bad; should lead to a `stop-version` command. */
	readonly onAlarm: (alarm: BadVersionAlarm) => void;
	/** The settings of the bad-version tests; `defaultBadVersionSettings` by default. */
	readonly badVersions?: BadVersionSettingsByMeasure;
};

const maximumEntries = 100_000;

/**
Aggregates the rating summaries of all instances on the leader and detects bad versions from the sums. A new leader starts with an empty collector.

@example
```ts
const reply = collector.mergeSummary(summary);
collector.table.evidence(target, progress.stageStartedAt).ratings;
```
*/
export class EvidenceCollector {
	readonly table: EvidenceAggregator;
	readonly #options: EvidenceCollectorOptions;
	readonly #qualityStore: QualityStore;

	constructor(options: EvidenceCollectorOptions) {
		this.#options = options;
		this.#qualityStore = new QualityStore({instance: toId<InstanceId>(`${options.instance}/evidence`), startedAt: options.startedAt, maximumEntries});
		this.table = new EvidenceAggregator(options.badVersions);
	}

	/**
	Merges the summary of an instance, which may be the leader itself.

	@param summary The summary; merging it again has no effect.
	@returns The sums over the other instances for the estimates in the summary.
	*/
	mergeSummary(summary: RatingSummary): RatingSummaryReply {
		const {onAlarm, now} = this.#options;
		this.#qualityStore.merge(summary);
		for (const report of summary.evidence) {
			const alarm = this.table.merge(report);
			if (alarm !== undefined) {
				onAlarm(alarm);
			}
		}

		return {others: this.#qualityStore.aggregateExcept([...summary.entries, ...summary.asked], {except: summary, now: now()})};
	}

	/**
	Removes entries whose weight has decayed and versions that are no longer configured. Call this every few minutes.

	@param configuration The current configuration.
	*/
	prune(configuration: EffectiveConfiguration): void {
		this.#qualityStore.evictDecayed(this.#options.now());
		this.table.retain(configuration);
	}
}
