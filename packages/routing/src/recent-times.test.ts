import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {RecentTimes} from './recent-times.js';

const server = 'server-1' as ServerId;

test('times halve in two seconds and are forgotten at last', t => {
	const times = new RecentTimes();
	times.record(server, {observed: 400, expected: 200}, 0);
	t.deepEqual(times.at(server, 2000), {observed: 200, expected: 100});
	times.record(server, {observed: 100, expected: 100}, 2000);
	t.deepEqual(times.at(server, 2000), {observed: 300, expected: 200});
	t.deepEqual(times.servers(2000), [server]);
	t.deepEqual(times.servers(60_000), []);
});

test('a server whose process has ended is forgotten, and absurd times are left out', t => {
	const times = new RecentTimes();
	for (const observed of [-1, Number.NaN, Number.POSITIVE_INFINITY]) {
		times.record(server, {observed, expected: 100}, 0);
	}

	for (const expected of [0, -5, Number.NaN, Number.POSITIVE_INFINITY]) {
		times.record(server, {observed: 100, expected}, 0);
	}

	t.deepEqual(times.servers(0), []);
	times.record(server, {observed: 100, expected: 100}, 0);
	times.forget(server);
	t.deepEqual(times.at(server, 0), {observed: 0, expected: 0});
});
