import {type ControlState, rolloutCommands, type RolloutCommandsOptions} from '@valehitch/control';
import {type Clock} from '@valehitch/core';
import {type Timeline} from '../../timeline.js';
import {type ControlPart} from '../start-control.js';

/** What the controller needs. */
export type RolloutControllerOptions = {
	readonly clock: Clock;
	readonly timeline: Pick<Timeline, 'record'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'propose'> & {readonly state: () => Pick<ControlState, 'effective'> | undefined};
	/** The evidence on a version over all instances. */
	readonly evidence: RolloutCommandsOptions['evidence'];
};

/**
Takes roll-outs from stage to stage and stops bad versions, while this instance leads; it keeps nothing of its own, so a new leader goes on where the last one stopped.

@example
```ts
const controller = new RolloutController(options);
await controller.tick();
```
*/
export class RolloutController {
	readonly #options: RolloutControllerOptions;
	#isBusy = false;

	constructor(options: RolloutControllerOptions) {
		this.#options = options;
	}

	/** Proposes the steps that are due; a call while one is in progress does nothing. */
	async tick(): Promise<void> {
		const {control, clock, evidence} = this.#options;
		const effective = control.state()?.effective;
		if (this.#isBusy || effective === undefined || !control.isLeader()) {
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
