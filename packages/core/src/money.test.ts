import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {calculateCost, type Micros, sumAmounts} from './money.js';

test('a cost is rounded up to a whole millionth', t => {
	t.is(calculateCost({input: 0.5, output: 2}, {input: 100, output: 10}), 70 as Micros);
	t.is(calculateCost({input: 0.1, output: 0}, {input: 1, output: 0}), 1 as Micros);
	t.is(calculateCost({input: 0, output: 0}, {input: 1_000_000, output: 1_000_000}), 0 as Micros);
});

testProp(
	'a sum is independent of the order of its amounts',
	[fc.array(fc.nat({max: 1_000_000_000}))],
	(t, amounts) => {
		const micros = amounts as Micros[];
		t.is(sumAmounts(micros), sumAmounts(micros.toReversed()));
	},
	{seed: 1, numRuns: 200},
);
