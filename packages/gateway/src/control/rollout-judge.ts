import {type DecisionLog} from '../logs/decision-log.js';
import {type EvidenceTable} from '../rollouts/evidence-table.js';
import {judgeRollout} from '../rollouts/judge-rollout.js';
import {isEnded, type RunningRollout} from '../rollouts/rollout.js';
import {type AdvanceRolloutCommand} from './gateway-command.js';

/** What the judgement of roll-outs needs. */
export type RolloutJudgeOptions = {
	readonly log: DecisionLog;
	readonly evidence: EvidenceTable;
	/** The roll-outs with their ages, where this instance leads; none elsewhere. */
	readonly rollouts: () => readonly RunningRollout[];
	/** Has a command committed. */
	readonly advance: (command: AdvanceRolloutCommand) => Promise<unknown>;
};

/**
Takes the running roll-outs to their next stages, at the leader.

@example
```ts
const judge = new RolloutJudge(options);
await judge.look();
```
*/
export class RolloutJudge {
	readonly #options: RolloutJudgeOptions;
	#isLooking = false;

	constructor(options: RolloutJudgeOptions) {
		this.#options = options;
	}

	/** Looks once at all that run; does nothing while the look before is not done. */
	async look(): Promise<void> {
		if (this.#isLooking) {
			return;
		}

		this.#isLooking = true;
		for (const rollout of this.#options.rollouts()) {
			if (!isEnded(rollout)) {
				await this.#judge(rollout);
			}
		}

		this.#isLooking = false;
	}

	async #judge(rollout: RunningRollout): Promise<void> {
		const {service, target, age} = rollout;
		const {evidence, log, advance} = this.#options;
		const ofService = evidence.of(service);
		const stage = judgeRollout(rollout, {evidence: ofService, age});
		if (stage === undefined) {
			return;
		}

		const fresh = ofService.filter(({version}) => version === target);
		log('rollout-advanced', {
			service,
			target,
			stage,
			age: Math.round(age),
			answers: sum(fresh.map(({answers}) => answers)),
			failures: sum(fresh.map(({failures}) => failures)),
			routes: fresh.map(({route, model, answers, failures, latencySum}) => `${route} ${model}: ${failures} of ${answers} failed, ${Math.round(latencySum)} ms in all`),
		}, 'warn');
		await advance({
			type: 'advance-rollout', service, target, stage,
		});
	}
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0);
}
