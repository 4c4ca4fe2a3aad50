import test from 'ava';
import fc from 'fast-check';
import {WindowedRetryBudget} from './windowed-retry-budget.js';

const seed = 20_261_202;
const share = 0.5;
const slack = 3;
const windowMilliseconds = 1000;

type Counted = {
	readonly at: number;
	readonly isAdditional: boolean;
};

/** Returns by how much the additional attempts in the window that ends at a given time exceed the limit. */
function excessIn(counted: readonly Counted[], end: number): number {
	const inWindow = counted.filter(({at}) => at > end - windowMilliseconds && at <= end);
	const additional = inWindow.filter(({isAdditional}) => isAdditional).length;
	return additional - (share * (inWindow.length - additional)) - slack;
}

test('in every window that ends with an additional attempt, the ratio and the minimum limit the additional attempts', t => {
	fc.assert(fc.property(fc.array(fc.record({isAdditional: fc.boolean(), elapsed: fc.nat(80)}), {maxLength: 400, size: 'max'}), steps => {
		const budget = new WindowedRetryBudget({ratio: share, minimumPerWindow: slack, windowMilliseconds});
		const counted: Counted[] = [];
		let now = 0;
		for (const {isAdditional, elapsed} of steps) {
			now += elapsed;
			if (!isAdditional) {
				budget.deposit('key', now);
				counted.push({at: now, isAdditional});
				continue;
			}

			if (budget.withdraw('key', now)) {
				counted.push({at: now, isAdditional});
			}
		}

		t.deepEqual(counted.filter(({at, isAdditional}) => isAdditional && excessIn(counted, at) > 0), []);
	}), {seed, numRuns: 300, includeErrorInReport: true});
});

test('the unused budget is available at once when many requests lose their server together', t => {
	const budget = new WindowedRetryBudget({ratio: share, minimumPerWindow: 0, windowMilliseconds});
	for (let now = 0; now < 900; now += 10) {
		budget.deposit('key', now);
	}

	const allowed = Array.from({length: 90}, () => budget.withdraw('key', 900)).filter(Boolean).length;
	t.is(allowed, 45);
	t.false(budget.withdraw('key', 901));
	t.false(budget.withdraw('other', 900));
});

test('keeps a bounded number of keys', t => {
	const budget = new WindowedRetryBudget({maximumKeys: 3});
	for (let key = 0; key < 10; key++) {
		budget.deposit(String(key), 0);
	}

	t.is(budget.size, 3);
});
