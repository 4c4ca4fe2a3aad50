import {type RolloutEvidence, type RolloutTarget} from '@valehitch/control';
import {type RolloutProgress} from '@valehitch/core';
import {type DaemonBase} from '../../daemon-base.js';
import {badVersionSettingsOf} from '../../ratings/bad-version-settings-of.js';
import {EvidenceCollector} from '../../ratings/evidence-collector.js';
import {type RatingSummary, type RatingSummaryReply} from '../../ratings/rating-summary.js';
import {type ControlPart} from '../start-control.js';

/** The dependencies of `LeaderEvidence`. */
export type LeaderEvidenceOptions = {
	readonly base: Pick<DaemonBase, 'clock' | 'settings'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'state'>;
	/** Called immediately when the summed evidence shows a version to be bad. The rollout controller then reads the alarm from the evidence and proposes the stop. */
	readonly onAlarm: () => void;
};

const pruneMilliseconds = 300_000;

/**
Aggregates the evidence of all instances while this one is the leader. Each leadership starts without evidence; the next summaries of the instances restore it, since they contain cumulative sums.

@example
```ts
const evidence = new LeaderEvidence({base, control, onAlarm});
evidence.mergeSummary(summary);
```
*/
export class LeaderEvidence {
	readonly #options: LeaderEvidenceOptions;
	#collector: EvidenceCollector | undefined;
	#prunedAt = 0;

	constructor(options: LeaderEvidenceOptions) {
		this.#options = options;
	}

	/**
	Merges the summary of an instance.

	@param summary The summary.
	@returns The reply to the instance, or undefined if this instance is not the leader.
	*/
	mergeSummary(summary: RatingSummary): RatingSummaryReply | undefined {
		return this.#current()?.mergeSummary(summary);
	}

	/**
	Returns the evidence on a version, which decides on the next step of its rollout.

	@param target The version.
	@param progress The progress of its rollout; ratings count from the start of the current stage.
	@returns The evidence; empty if this instance is not the leader.
	*/
	forVersion(target: RolloutTarget, progress: RolloutProgress | undefined): RolloutEvidence {
		return this.#current()?.table.evidence(target, progress?.stageStartedAt ?? 0) ?? {ratings: 0};
	}

	/** Removes decayed entries, and all evidence if this instance is no longer the leader. */
	prune(): void {
		const {base: {clock}, control} = this.#options;
		const collector = this.#current();
		const effective = control.state()?.effective;
		const now = clock.monotonic();
		if (collector !== undefined && effective !== undefined && now - this.#prunedAt > pruneMilliseconds) {
			this.#prunedAt = now;
			collector.prune(effective);
		}
	}

	#current(): EvidenceCollector | undefined {
		const {base: {clock, settings}, control, onAlarm} = this.#options;
		if (!control.isLeader()) {
			this.#collector = undefined;
			return undefined;
		}

		this.#collector ??= new EvidenceCollector({
			instance: settings.instance,
			startedAt: clock.now().getTime(),
			now: () => clock.now().getTime(),
			badVersions: badVersionSettingsOf(settings),
			onAlarm,
		});
		return this.#collector;
	}
}
