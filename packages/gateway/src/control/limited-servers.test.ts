import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {LimitedServers} from './limited-servers.js';

const source = 'entry-1' as InstanceId;
const entry = {instance: source, zone: testServer().zone};

function start(onChange: () => void) {
	const time = {now: 10_000};
	const limitedServers = new LimitedServers({
		clock: {monotonic: () => time.now}, log() {
			// Not checked here.
		}, self: 'control-1' as InstanceId, startedAt: 0, directory: {recordOf: id => id === testServer().id ? testServer() : undefined}, grantors: () => 3, onChange,
	});
	return {time, limitedServers};
}

test('a limit that one entry instance has heard is told to all others at once, and its refreshed forms are not', t => {
	let changes = 0;
	const {time, limitedServers} = start(() => {
		changes++;
	});
	const limit = {server: testServer().id, requestsPerSecond: 1.7, age: 3};
	const before = limitedServers.cursor;
	limitedServers.receive([limit], source);
	t.is(changes, 1);
	t.true(limitedServers.cursor > before);
	t.like(limitedServers.changedSince(before, time.now)[0], limit);
	t.deepEqual(limitedServers.changedSince(limitedServers.cursor, time.now), []);
	time.now += 500;
	limitedServers.receive([limit], source);
	t.is(changes, 1);
	limitedServers.receive([{...limit, requestsPerSecond: undefined}], source);
	t.is(changes, 2);
});

test('a limit that goes on being named is told again before others drop it', t => {
	const {time, limitedServers} = start(() => {
		// Not counted here.
	});
	const limit = {server: testServer().id, requestsPerSecond: 1.7, age: 0};
	limitedServers.receive([limit], source);
	const before = limitedServers.cursor;
	time.now += 40_000;
	limitedServers.receive([limit], source);
	t.like(limitedServers.changedSince(before, time.now)[0], {age: 0});
});

test('leases are granted for known servers with a limit only', t => {
	const {time, limitedServers} = start(() => {
		// Not counted here.
	});
	t.deepEqual(limitedServers.leases.grantsFor({entry, entries: [entry], now: time.now}), []);
	limitedServers.receive([
		{server: testServer().id, requestsPerSecond: 1.5, age: 0},
		{server: 'unknown' as ServerId, requestsPerSecond: 1.5, age: 0},
	], source);
	t.deepEqual(limitedServers.leases.grantsFor({entry, entries: [entry], now: time.now}), [[testServer().id, 1, 2000]]);
});
