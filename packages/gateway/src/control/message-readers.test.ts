import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {MessageReaders} from './message-readers.js';

const [first, second] = ['10.0.0.1', '10.0.0.2'] as InstanceId[] as [InstanceId, InstanceId];

test('an instance reads the message from when it says so until it no longer does or does not answer', t => {
	const readers = new MessageReaders();
	readers.record(first, {canRead: true});
	readers.record(second, {canRead: true});
	t.deepEqual(readers.ids, [first, second]);
	readers.record(first, {canRead: false});
	readers.forget(second);
	t.deepEqual([readers.has(first), readers.has(second)], [false, false]);
	readers.record(second, {canRead: true});
	t.true(readers.has(second));
});
