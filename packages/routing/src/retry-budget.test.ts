import test from 'ava';
import fc from 'fast-check';
import {RetryBudget} from './retry-budget.js';

const seed = 20_261_202;

test('allows no more additional attempts than the ratio, the minimum rate and the burst permit', t => {
	fc.assert(fc.property(fc.array(fc.record({isRetry: fc.boolean(), elapsed: fc.nat(50)}), {maxLength: 500, size: 'max'}), steps => {
		const budget = new RetryBudget({ratio: 0.1, minimumPerSecond: 0.2, burst: 10});
		let now = 0;
		let first = 0;
		let additional = 0;
		for (const {isRetry, elapsed} of steps) {
			now += elapsed;
			if (isRetry) {
				additional += budget.withdraw('key', now) ? 1 : 0;
			} else {
				first++;
				budget.deposit('key', now);
			}

			t.true(additional <= 1 + (0.1 * first) + (0.2 * now / 1000) + 1e-9);
		}
	}), {seed, numRuns: 300, includeErrorInReport: true});
});

test('keeps a bounded number of keys', t => {
	const budget = new RetryBudget({maximumKeys: 3});
	for (let key = 0; key < 10; key++) {
		budget.deposit(String(key), 0);
	}

	t.is(budget.size, 3);
});

test('an additional attempt that was worth it is given back, up to the burst', t => {
	const budget = new RetryBudget({ratio: 0, minimumPerSecond: 0, burst: 2});
	t.true(budget.allows('key', 0));
	t.true(budget.withdraw('key', 0));
	t.false(budget.allows('key', 0));
	for (let attempt = 0; attempt < 5; attempt++) {
		budget.restore('key', 0);
	}

	t.deepEqual(Array.from({length: 3}, () => budget.withdraw('key', 0)), [true, true, false]);
});
