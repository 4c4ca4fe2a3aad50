import {type ControlState, rolloutCommands, type RolloutCommandsOptions} from '@valehitch/control';
import {type Clock} from '@valehitch/core';
import {type Timeline} from '../../timeline.js';
import {type ControlPart} from '../start-control.js';

/** The dependencies of a `RolloutController`. */
export type RolloutControllerOptions = {
	readonly clock: Clock;
	readonly timeline: Pick<Timeline, 'record'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'propose'> & {readonly state: () => Pick<ControlState, 'effective'> | undefined};
	/** Returns the evidence on a version from all instances. */
	readonly evidence: RolloutCommandsOptions['evidence'];
	/** How long a new leader waits for the evidence of the instances before its first step; 3,000 by default. */
	readonly evidenceDelayMilliseconds?: number;
};

const defaultEvidenceDelayMilliseconds = 3000;

/**
Advances rollouts through their stages and stops bad versions while this instance is the leader. All progress is in the replicated state, so a new leader continues where the previous one stopped.

@example
```ts
const controller = new RolloutController(options);
await controller.tick();
```
*/
export class RolloutController {
	readonly #options: RolloutControllerOptions;
	#isBusy = false;
	#leadingSince: number | undefined;

	constructor(options: RolloutControllerOptions) {
		this.#options = options;
	}

	/** Proposes the steps that are due. A call while another is in progress has no effect. */
	async tick(): Promise<void> {
		const {control, clock, evidence} = this.#options;
		const effective = control.state()?.effective;
		if (this.#isBusy || effective === undefined || !this.#hasEvidence()) {
			return;
		}

		this.#isBusy = true;
		try {
			for (const command of rolloutCommands(effective, {evidence, now: clock.now().getTime()})) {
				await this.#propose(command);
			}
		} finally {
			this.#isBusy = false;
		}
	}

	/** Returns whether the instances had time to send their evidence. Without it, a new leader would treat a bad version as a good one. */
	#hasEvidence(): boolean {
		const {control, clock, evidenceDelayMilliseconds = defaultEvidenceDelayMilliseconds} = this.#options;
		this.#leadingSince = control.isLeader() ? this.#leadingSince ?? clock.monotonic() : undefined;
		return this.#leadingSince !== undefined && clock.monotonic() - this.#leadingSince >= evidenceDelayMilliseconds;
	}

	async #propose(command: ReturnType<typeof rolloutCommands>[number]): Promise<void> {
		const {control, timeline} = this.#options;
		const {model, version} = command;
		const result = await control.propose(command);
		result.ifRight(({revision}) => {
			if (command.type === 'advance-rollout') {
				timeline.record('rollout-advanced', {
					model, version, revision, details: {fromStage: command.fromStage},
				});
			} else {
				timeline.record('version-stopped', {
					model, version, revision, details: {reason: command.reason, scope: 'all'},
				});
			}
		});
	}
}
