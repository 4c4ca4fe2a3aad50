import test from 'ava';
import {LineBudget} from './line-budget.js';

test('each kind has its own limit, urgent lines have a higher limit, and suppressed lines are counted', t => {
	const rateLimiter = new LineBudget({linesPerSecond: 2, urgentLinesPerSecond: 1});
	rateLimiter.renew(1000);
	const taken = [1, 2, 3].map(() => rateLimiter.take('ended', {isUrgent: false}));
	t.deepEqual(taken, [true, true, false]);
	t.true(rateLimiter.take('ended', {isUrgent: true}));
	t.false(rateLimiter.take('ended', {isUrgent: true}));
	t.true(rateLimiter.take('sent', {isUrgent: false}));
	t.deepEqual(rateLimiter.renew(1999), []);
	t.deepEqual(rateLimiter.renew(2000), [{kind: 'ended', count: 2}]);
	t.true(rateLimiter.take('ended', {isUrgent: false}));
});
