import test from 'ava';
import fc from 'fast-check';
import {RetryWindow} from './retry-window.js';

const seed = 20_261_202;
const share = 0.5;
const slack = 3;
const windowMilliseconds = 1000;

type Counted = {
	readonly at: number;
	readonly isFurther: boolean;
};

/** By how much the further attempts of the window that ends at a time exceed the bound. */
function excessIn(counted: readonly Counted[], end: number): number {
	const inWindow = counted.filter(({at}) => at > end - windowMilliseconds && at <= end);
	const further = inWindow.filter(({isFurther}) => isFurther).length;
	return further - (share * (inWindow.length - further)) - slack;
}

test('in every window that ends with a further attempt, those are a share of the first ones and the slack', t => {
	fc.assert(fc.property(fc.array(fc.record({isFurther: fc.boolean(), elapsed: fc.nat(80)}), {maxLength: 400, size: 'max'}), steps => {
		const budget = new RetryWindow({share, slack, windowMilliseconds});
		const counted: Counted[] = [];
		let now = 0;
		for (const {isFurther, elapsed} of steps) {
			now += elapsed;
			if (!isFurther) {
				budget.deposit('key', now);
				counted.push({at: now, isFurther});
				continue;
			}

			if (budget.withdraw('key', now)) {
				counted.push({at: now, isFurther});
			}
		}

		t.deepEqual(counted.filter(({at, isFurther}) => isFurther && excessIn(counted, at) > 0), []);
	}), {seed, numRuns: 300, includeErrorInReport: true});
});

test('what was not used is there at once when many requests lose their server together', t => {
	const budget = new RetryWindow({share, slack: 0, windowMilliseconds});
	for (let now = 0; now < 900; now += 10) {
		budget.deposit('key', now);
	}

	const allowed = Array.from({length: 90}, () => budget.withdraw('key', 900)).filter(Boolean).length;
	t.is(allowed, 45);
	t.false(budget.withdraw('key', 901));
	t.false(budget.withdraw('other', 900));
});

test('keeps a bounded number of keys', t => {
	const budget = new RetryWindow({maximumKeys: 3});
	for (let key = 0; key < 10; key++) {
		budget.deposit(String(key), 0);
	}

	t.is(budget.size, 3);
});
