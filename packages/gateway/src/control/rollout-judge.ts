import {type DecisionLog} from '../logs/decision-log.js';
import {type EvidenceTable} from '../rollouts/evidence-table.js';
import {judgeRollout} from '../rollouts/judge-rollout.js';
import {isEnded, type RunningRollout} from '../rollouts/rollout.js';
import {type AdvanceRolloutCommand} from './gateway-command.js';

/** Options of the rollout controller. */
export type RolloutJudgeOptions = {
	readonly log: DecisionLog;
	readonly evidence: EvidenceTable;
	/** The rollouts with their ages if this instance is the leader; otherwise none. */
	readonly rollouts: () => readonly RunningRollout[];
	/** Commits a command. */
	readonly advance: (command: AdvanceRolloutCommand) => Promise<unknown>;
};

/**
Advances the running rollouts on the leader.

@example
```ts
const controller = new RolloutController(options);
await controller.evaluateRollouts();
```
*/
export class RolloutJudge {
	readonly #options: RolloutJudgeOptions;
	#isEvaluating = false;

	constructor(options: RolloutJudgeOptions) {
		this.#options = options;
	}

	/** Evaluates all running rollouts once; does nothing while the previous evaluation is in progress. */
	async look(): Promise<void> {
		if (this.#isEvaluating) {
			return;
		}

		this.#isEvaluating = true;
		for (const rollout of this.#options.rollouts()) {
			if (!isEnded(rollout)) {
				await this.#evaluate(rollout);
			}
		}

		this.#isEvaluating = false;
	}

	async #evaluate(rollout: RunningRollout): Promise<void> {
		const {service, target, age} = rollout;
		const {evidence, log, advance} = this.#options;
		const serviceEvidence = evidence.of(service);
		const stage = judgeRollout(rollout, {evidence: serviceEvidence, age});
		if (stage === undefined) {
			return;
		}

		const targetEvidence = serviceEvidence.filter(({version}) => version === target);
		log('rollout-advanced', {
			service,
			target,
			stage,
			age: Math.round(age),
			answers: sum(targetEvidence.map(({answers}) => answers)),
			failures: sum(targetEvidence.map(({failures}) => failures)),
			routes: targetEvidence.map(({route, model, answers, failures, latencySum}) => `${route} ${model}: ${failures} of ${answers} failed, ${Math.round(latencySum)} ms in total`),
		}, 'warn');
		await advance({
			type: 'advance-rollout', service, target, stage,
		});
	}
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0);
}
