import {type RolloutEvidence, type RolloutTarget} from '@valehitch/control';
import {type RolloutProgress} from '@valehitch/core';
import {type DaemonBase} from '../../daemon-base.js';
import {badVersionSettingsOf} from '../../ratings/bad-version-settings-of.js';
import {EvidenceKeeper} from '../../ratings/evidence-keeper.js';
import {type RatingSummary, type RatingSummaryReply} from '../../ratings/rating-summary.js';
import {type ControlPart} from '../start-control.js';

/** What the evidence needs. */
export type LeaderEvidenceOptions = {
	readonly base: Pick<DaemonBase, 'clock' | 'settings'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'state'>;
	/** Told at once of each version that is bad by the sum; the controller reads the alarm with the evidence and proposes the stop. */
	readonly onAlarm: () => void;
};

const tidyMilliseconds = 300_000;

/**
Keeps the evidence of all instances while this one leads, and begins with none each time it begins to lead; the instances' next summaries bring it back, since their sums only grow.

@example
```ts
const evidence = new LeaderEvidence({base, control, onAlarm});
evidence.take(summary);
```
*/
export class LeaderEvidence {
	readonly #options: LeaderEvidenceOptions;
	#keeper: EvidenceKeeper | undefined;
	#tidiedAt = 0;

	constructor(options: LeaderEvidenceOptions) {
		this.#options = options;
	}

	/**
	Takes an instance's summary.

	@param summary The summary.
	@returns The reply for the instance; undefined where this instance does not lead.
	*/
	take(summary: RatingSummary): RatingSummaryReply | undefined {
		return this.#current()?.take(summary);
	}

	/**
	The evidence on a version, for the steps of its roll-out.

	@param target The version.
	@param progress The progress of its roll-out; ratings count from the start of the stage.
	@returns The evidence; none where this instance does not lead.
	*/
	on(target: RolloutTarget, progress: RolloutProgress | undefined): RolloutEvidence {
		return this.#current()?.table.evidence(target, progress?.stageStartedAt ?? 0) ?? {ratings: 0};
	}

	/** Drops what has faded, and everything once this instance no longer leads. */
	tidy(): void {
		const {base: {clock}, control} = this.#options;
		const keeper = this.#current();
		const effective = control.state()?.effective;
		const now = clock.monotonic();
		if (keeper !== undefined && effective !== undefined && now - this.#tidiedAt > tidyMilliseconds) {
			this.#tidiedAt = now;
			keeper.tidy(effective);
		}
	}

	#current(): EvidenceKeeper | undefined {
		const {base: {clock, settings}, control, onAlarm} = this.#options;
		if (!control.isLeader()) {
			this.#keeper = undefined;
			return undefined;
		}

		this.#keeper ??= new EvidenceKeeper({
			instance: settings.instance,
			startedAt: clock.now().getTime(),
			now: () => clock.now().getTime(),
			badVersions: badVersionSettingsOf(settings),
			onAlarm,
		});
		return this.#keeper;
	}
}
