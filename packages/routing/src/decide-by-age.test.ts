import test from 'ava';
import {type AgeDecision, decideByAge, type KnowledgeUse} from './decide-by-age.js';

const [currentFor, permitsFor] = [1500, 4500];

const rows: ReadonlyArray<readonly [use: KnowledgeUse, age: number, beforeAsking: AgeDecision, afterAsking: AgeDecision]> = [
	['final-refusal', 0, 'use', 'use'],
	['final-refusal', 1500, 'use', 'use'],
	['final-refusal', 2600, 'ask', 'refuse-for-now'],
	['final-refusal', 6000, 'ask', 'refuse-for-now'],
	['final-refusal', Number.POSITIVE_INFINITY, 'ask', 'refuse-for-now'],
	['permission', 1500, 'use', 'use'],
	['permission', 2600, 'ask', 'use'],
	['permission', 4499, 'ask', 'use'],
	['permission', 4500, 'ask', 'refuse-for-now'],
	['server', 1500, 'use', 'use'],
	['server', 2600, 'ask', 'use'],
	['server', 6000, 'ask', 'use'],
];

for (const [use, age, beforeAsking, afterAsking] of rows) {
	test(`knowledge of ${age} ms for a ${use}`, t => {
		const knowledge = {
			use, age, currentFor, permitsFor,
		};
		t.is(decideByAge({...knowledge, wasAsked: false}), beforeAsking);
		t.is(decideByAge({...knowledge, wasAsked: true}), afterAsking);
	});
}
