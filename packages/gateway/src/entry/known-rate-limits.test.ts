import {type InstanceId} from '@valehitch/core';
import {rateLeaseMilliseconds} from '@valehitch/routing';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {KnownRateLimits} from './known-rate-limits.js';

const server = testServer();
const source = 'control-1' as InstanceId;
const now = 10_000;

test('a server that names a limit gets no request without a lease, and is sent to again once it names none', t => {
	const limits = new KnownRateLimits({startedAt: 0});
	t.true(limits.allows(server, now));
	t.true(limits.hear(server, {requestsPerSecond: 2, now}));
	t.false(limits.allows(server, now));
	limits.renewLeases({source, leases: [[server.id, 1, 1500]], validUntil: now + rateLeaseMilliseconds});
	t.true(limits.allows(server, now));
	limits.countSend(server, now);
	t.false(limits.allows(server, now + 1500));
	t.true(limits.allows(server, now + 1501));
	t.true(limits.hearNone(server, {sentAt: now + 1, now: now + 50}));
	t.true(limits.allows(server, now + 60));
});

test('an answer to a request that was sent before the limit was heard does not end it', t => {
	const limits = new KnownRateLimits({startedAt: 0});
	limits.hear(server, {requestsPerSecond: 2, now});
	t.false(limits.hearNone(server, {sentAt: now - 1, now: now + 500}));
	t.false(limits.allows(server, now + 500));
});

test('what control instances report is not reported back to them', t => {
	const limits = new KnownRateLimits({startedAt: 0});
	limits.merge([{server: server.id, requestsPerSecond: 2, age: 5}], now);
	t.deepEqual(limits.heard(now), []);
	limits.hear(server, {requestsPerSecond: 2, now});
	t.like(limits.heard(now)[0], {server: server.id, requestsPerSecond: 2});
});

test('the wait for a limited server is that of its leases, and otherwise that of its rate', t => {
	const limits = new KnownRateLimits({startedAt: 0});
	t.is(limits.waitFor(server, now), 0);
	limits.hear(server, {requestsPerSecond: 2, now});
	t.is(limits.waitFor(server, now), 500);
	limits.renewLeases({source, leases: [[server.id, 1, 1500]], validUntil: now + rateLeaseMilliseconds});
	t.is(limits.waitFor(server, now), 0);
	limits.countSend(server, now);
	t.is(limits.waitFor(server, now + 100), 1400);
	limits.hear(server, {requestsPerSecond: 0, now: now + 200});
	t.is(limits.waitFor(server, now + 5000), 10_000);
});
