import test from 'ava';
import {LineBudget} from './line-budget.js';

test('each kind has its own bound, failures have room beyond it, and what was left out is counted', t => {
	const budget = new LineBudget({linesPerSecond: 2, urgentLinesPerSecond: 1});
	budget.renew(1000);
	const taken = [1, 2, 3].map(() => budget.take('ended', {isUrgent: false}));
	t.deepEqual(taken, [true, true, false]);
	t.true(budget.take('ended', {isUrgent: true}));
	t.false(budget.take('ended', {isUrgent: true}));
	t.true(budget.take('sent', {isUrgent: false}));
	t.deepEqual(budget.renew(1999), []);
	t.deepEqual(budget.renew(2000), [{kind: 'ended', count: 2}]);
	t.true(budget.take('ended', {isUrgent: false}));
});
