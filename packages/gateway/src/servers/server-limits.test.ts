import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {ServerLimits} from './server-limits.js';

const server = 'server-1' as ServerId;

test('the latest observation of the latest process holds, in whichever order they arrive', t => {
	const limits = new ServerLimits();
	t.true(limits.apply({
		server, startedAt: 1, requestsPerSecond: 2, observedAt: 100,
	}));
	t.false(limits.apply({
		server, startedAt: 1, requestsPerSecond: 2, observedAt: 150,
	}));
	t.false(limits.apply({
		server, startedAt: 1, requestsPerSecond: 9, observedAt: 120,
	}));
	t.is(limits.of({id: server, startedAt: 1}, 200)?.requestsPerSecond, 2);
	t.false(limits.apply({
		server, startedAt: 1, requestsPerSecond: 2.2, observedAt: 210,
	}), 'a minor change');
	t.is(limits.of({id: server, startedAt: 1}, 220)?.requestsPerSecond, 2.2);
	t.true(limits.apply({server, startedAt: 2, observedAt: 140}));
	t.false(limits.apply({
		server, startedAt: 1, requestsPerSecond: 2, observedAt: 300,
	}));
	t.is(limits.of({id: server, startedAt: 2}, 300), undefined);
});

test('an instance takes over limits and their ends from another one by their age', t => {
	const teller = new ServerLimits();
	const listener = new ServerLimits();
	teller.apply({server, requestsPerSecond: 2, observedAt: 1000});
	t.is(listener.merge(teller.toSend(1400), 50_000).length, 1);
	t.is(listener.of({id: server}, 50_000)?.observedAt, 49_600);
	t.deepEqual(listener.merge(teller.toSend(1400), 50_000), []);
	teller.apply({server, observedAt: 1500});
	t.is(listener.merge(teller.toSend(1500), 50_100).length, 1);
	t.deepEqual(listener.inForce(50_100), []);
});

test('a limit that nobody has heard for two minutes is dropped', t => {
	const limits = new ServerLimits();
	limits.apply({server, requestsPerSecond: 0, observedAt: 0});
	t.is(limits.of({id: server}, 119_000)?.requestsPerSecond, 0);
	t.is(limits.of({id: server}, 121_000), undefined);
	t.deepEqual(limits.toSend(121_000), []);
});
