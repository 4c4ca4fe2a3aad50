import test from 'ava';
import {ChangeLog} from './change-log.js';

test('an item is listed once, at its last change, until it is forgotten', t => {
	const changes = new ChangeLog<string>();
	const first = changes.record('a');
	changes.record('b');
	t.deepEqual(changes.since(0), ['a', 'b']);
	changes.record('a');
	t.deepEqual(changes.since(0), ['b', 'a']);
	t.deepEqual(changes.since(first), ['b', 'a']);
	changes.forget('b');
	t.deepEqual(changes.since(0), ['a']);
	t.deepEqual(changes.since(changes.cursor), []);
});

test('an item that changes often does not displace others', t => {
	const changes = new ChangeLog<string>();
	changes.record('rare');
	for (let count = 0; count < 2000; count++) {
		changes.record('frequent');
	}

	t.is(changes.cursor, 2001);
	t.deepEqual(changes.since(0), ['rare', 'frequent']);
	t.deepEqual(changes.since(1), ['frequent']);
});
