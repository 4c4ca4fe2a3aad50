import {type DecisionLog} from '../logs/decision-log.js';
import {type EvidenceTable} from '../rollouts/evidence-table.js';
import {countStarted} from '../rollouts/count-started.js';
import {findRegression} from '../rollouts/find-regression.js';
import {latencyRatio} from '../rollouts/latency-ratio.js';
import {nextRolloutStage} from '../rollouts/next-rollout-stage.js';
import {isEnded, type RolloutWithAge} from '../rollouts/rollout.js';
import {type AdvanceRolloutCommand} from './gateway-command.js';

/** Options of the rollout controller. */
export type RolloutControllerOptions = {
	readonly log: DecisionLog;
	readonly evidence: EvidenceTable;
	/** The rollouts with their ages if this instance is the leader; otherwise none. */
	readonly rollouts: () => readonly RolloutWithAge[];
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
export class RolloutController {
	readonly #options: RolloutControllerOptions;
	#isEvaluating = false;

	constructor(options: RolloutControllerOptions) {
		this.#options = options;
	}

	/** Evaluates all running rollouts once; does nothing while the previous evaluation is in progress. */
	async evaluateRollouts(): Promise<void> {
		if (this.#isEvaluating) {
			return;
		}

		this.#isEvaluating = true;
		try {
			for (const rollout of this.#options.rollouts()) {
				if (!isEnded(rollout)) {
					await this.#evaluate(rollout);
				}
			}
		} catch (error) {
			// The next evaluation tries again; an uncaught error would end the process.
			this.#options.log('rollout-evaluation-failed', {reason: error instanceof Error ? error.stack ?? error.message : String(error)}, 'error');
		} finally {
			this.#isEvaluating = false;
		}
	}

	async #evaluate(rollout: RolloutWithAge): Promise<void> {
		const {service, target, age} = rollout;
		const {evidence, log, advance} = this.#options;
		const serviceEvidence = evidence.forService(service);
		const targetEvidence = serviceEvidence.filter(({version}) => version === target);
		const regression = findRegression(rollout, serviceEvidence);
		const started = sum(targetEvidence.map(counter => countStarted(counter).started));
		const stage = nextRolloutStage(rollout, {regression, started, age});
		if (stage === undefined) {
			return;
		}

		log('rollout-advanced', {
			service,
			target,
			stage,
			age: Math.round(age),
			regression,
			started,
			latencyRatio: latencyRatio(target, serviceEvidence)?.toFixed(2),
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
