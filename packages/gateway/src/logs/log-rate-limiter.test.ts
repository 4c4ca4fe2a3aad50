import test from 'ava';
import {LogRateLimiter} from './log-rate-limiter.js';

test('each kind has its own limit, urgent lines have a higher limit, and suppressed lines are counted', t => {
	const rateLimiter = new LogRateLimiter({linesPerSecond: 2, urgentLinesPerSecond: 1});
	rateLimiter.startWindow(1000);
	const taken = [1, 2, 3].map(() => rateLimiter.tryAcquire('ended', {isUrgent: false}));
	t.deepEqual(taken, [true, true, false]);
	t.true(rateLimiter.tryAcquire('ended', {isUrgent: true}));
	t.false(rateLimiter.tryAcquire('ended', {isUrgent: true}));
	t.true(rateLimiter.tryAcquire('sent', {isUrgent: false}));
	t.deepEqual(rateLimiter.startWindow(1999), []);
	t.deepEqual(rateLimiter.startWindow(2000), [{kind: 'ended', count: 2}]);
	t.true(rateLimiter.tryAcquire('ended', {isUrgent: false}));
});
