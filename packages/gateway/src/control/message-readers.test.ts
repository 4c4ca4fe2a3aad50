import {type InstanceId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {MessageReaders} from './message-readers.js';

const [first, second] = ['10.0.0.1', '10.0.0.2'] as InstanceId[] as [InstanceId, InstanceId];

test('an instance reads the message from when it says so until it no longer does or does not answer', t => {
	const readers = new MessageReaders();
	readers.record(first, {canRead: true});
	readers.record(second, {canRead: true});
	t.deepEqual([readers.has(first), readers.has(second)], [true, true]);
	readers.record(first, {canRead: false});
	readers.forget(second);
	t.deepEqual([readers.has(first), readers.has(second)], [false, false]);
	readers.record(second, {canRead: true});
	t.true(readers.has(second));
});

test('the instances of the own zone are preferred while there are any', t => {
	const [zone, otherZone] = ['hall-a', 'hall-b'] as ZoneId[] as [ZoneId, ZoneId];
	const readers = new MessageReaders();
	readers.record(first, {canRead: true, zone: otherZone});
	t.deepEqual(readers.near(zone), [first]);
	readers.record(second, {canRead: true, zone});
	t.deepEqual(readers.near(zone), [second]);
	readers.forget(second);
	t.deepEqual(readers.near(zone), [first]);
});
