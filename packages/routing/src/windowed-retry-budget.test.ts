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

/** Restores the attempts that are due, and removes them from the list. */
function restoreUntil(budget: WindowedRetryBudget, unmade: Array<{readonly withdrawnAt: number; readonly restoreAt: number}>, now: number): void {
	for (const attempt of unmade.filter(({restoreAt}) => restoreAt <= now)) {
		budget.restore('key', attempt.withdrawnAt);
		unmade.splice(unmade.indexOf(attempt), 1);
	}
}

function countLeft(budget: WindowedRetryBudget, now: number): number {
	return Array.from({length: 400}, () => budget.withdraw('key', now)).filter(Boolean).length;
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

test('attempts that were withdrawn and not made are restored, and those that were made stay limited in every window', t => {
	const step = fc.record({type: fc.constantFrom('first', 'made', 'not-made'), elapsed: fc.nat(80), heldFor: fc.nat(2 * windowMilliseconds)});
	fc.assert(fc.property(fc.array(step, {maxLength: 400, size: 'max'}), steps => {
		const budget = new WindowedRetryBudget({ratio: share, minimumPerWindow: slack, windowMilliseconds});
		const withoutUnmade = new WindowedRetryBudget({ratio: share, minimumPerWindow: slack, windowMilliseconds});
		const counted: Counted[] = [];
		const areMadeAllowed: boolean[] = [];
		const unmade: Array<{readonly withdrawnAt: number; readonly restoreAt: number}> = [];
		let now = 0;
		for (const {type, elapsed, heldFor} of steps) {
			now += elapsed;
			restoreUntil(budget, unmade, now);
			if (type === 'first') {
				budget.deposit('key', now);
				withoutUnmade.deposit('key', now);
				counted.push({at: now, isAdditional: false});
				continue;
			}

			if (!budget.withdraw('key', now)) {
				continue;
			}

			if (type === 'made') {
				areMadeAllowed.push(withoutUnmade.withdraw('key', now));
				counted.push({at: now, isAdditional: true});
			} else {
				unmade.push({withdrawnAt: now, restoreAt: now + heldFor});
			}
		}

		restoreUntil(budget, unmade, Number.POSITIVE_INFINITY);
		t.false(areMadeAllowed.includes(false));
		t.is(countLeft(budget, now), countLeft(withoutUnmade, now));
		t.deepEqual(counted.filter(({at, isAdditional}) => isAdditional && excessIn(counted, at) > 0), []);
	}), {seed, numRuns: 300, includeErrorInReport: true});
});

test('no more attempts are restored than were withdrawn, and none to another window or key', t => {
	const budget = new WindowedRetryBudget({ratio: 0, minimumPerWindow: 2, windowMilliseconds});
	t.true(budget.withdraw('key', 0));
	t.true(budget.withdraw('key', 900));
	for (const [key, at] of [['other', 0], ['key', 450], ['key', 950]] as const) {
		budget.restore(key, at);
	}

	t.false(budget.allows('key', 960));
	budget.restore('key', 0);
	budget.restore('key', 0);
	t.true(budget.withdraw('key', 960));
	t.false(budget.withdraw('key', 960));
	t.true(budget.withdraw('key', 2500));
	budget.restore('key', 900);
	t.true(budget.withdraw('key', 2500));
	t.false(budget.withdraw('key', 2500));
});

test('keeps a bounded number of keys', t => {
	const budget = new WindowedRetryBudget({maximumKeys: 3});
	for (let key = 0; key < 10; key++) {
		budget.deposit(String(key), 0);
	}

	t.is(budget.size, 3);
});
