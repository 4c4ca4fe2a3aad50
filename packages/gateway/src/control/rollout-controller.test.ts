import {type ServiceId, type VersionId} from '@valehitch/core';
import test from 'ava';
import {EvidenceTable} from '../rollouts/evidence-table.js';
import {type AdvanceRolloutCommand} from './gateway-command.js';
import {RolloutController} from './rollout-controller.js';

const service = 'summaries' as ServiceId;
const target = 'v2' as VersionId;

// The flag that keeps evaluations apart stayed set, so that no rollout advanced until the process restarted.
test('a command that fails does not end the evaluation of rollouts', async t => {
	const commands: AdvanceRolloutCommand[] = [];
	const logged: string[] = [];
	const controller = new RolloutController({
		log(kind) {
			logged.push(kind);
		},
		evidence: new EvidenceTable(),
		rollouts: () => [{
			service, target, duration: 1000, stage: 'canary', orderedAt: 0, age: 900,
		}],
		async advance(command) {
			commands.push(command);
			if (commands.length === 1) {
				throw new Error('The replica stopped');
			}
		},
	});
	await controller.evaluateRollouts();
	await controller.evaluateRollouts();
	t.is(commands.length, 2);
	t.true(logged.includes('rollout-evaluation-failed'));
});
