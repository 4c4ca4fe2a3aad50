import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {LeasedRateLimiter} from './leased-rate-limiter.js';
import {rateLoanMilliseconds} from './rate-lease-terms.js';

const server = 'server-1' as ServerId;
const startedAt = 10_000;
const now = 20_000;

function limiterWith(permits: number, validUntil = now + 2000): LeasedRateLimiter {
	const limiter = new LeasedRateLimiter({startedAt, isLender: true});
	limiter.renew({source: 'control' as InstanceId, leases: [[server, permits]], validUntil});
	return limiter;
}

test('at most half of the unused sends are lent, and they count as sent until the loan has expired and its window has passed', t => {
	const limiter = limiterWith(6);
	limiter.countSend(server, now);
	t.is(limiter.lend(server, 10, now), 2);
	for (const expected of [true, true, true, false]) {
		t.is(limiter.allows(server, now), expected);
		limiter.countSend(server, now);
	}

	t.is(limiter.lend(server, 10, now), 0);
});

test('nothing is lent under a lease that ends before the loan, or soon after the start of the process', t => {
	t.is(limiterWith(6, now + rateLoanMilliseconds).lend(server, 2, now), 0);
	t.is(limiterWith(6).lend(server, 2, startedAt + 1000), 0);
});

test('a borrowed send is used when no own one is left, once, and only for some time', t => {
	const limiter = limiterWith(1);
	limiter.countSend(server, now);
	t.false(limiter.allows(server, now));
	limiter.addBorrowed(server, 1, now);
	t.true(limiter.allows(server, now));
	t.false(limiter.allows(server, now + rateLoanMilliseconds));
	limiter.countSend(server, now);
	t.false(limiter.allows(server, now));
});

test('a send after a loan has expired counts against the own sends', t => {
	const limiter = limiterWith(1);
	limiter.countSend(server, now);
	limiter.addBorrowed(server, 1, now);
	const expired = now + rateLoanMilliseconds;
	limiter.countSend(server, expired);
	t.false(limiter.allows(server, now + 1100));
});
