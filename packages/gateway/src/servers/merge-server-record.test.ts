import test from 'ava';
import {testServer} from './_test-server.js';
import {mergeServerRecord} from './merge-server-record.js';

const previous = testServer({startedAt: 1000, sequence: 80, state: 'gone'});
const restarted = testServer({startedAt: 2000, sequence: 1, slots: 4});

test('for one process the later announcement wins, and a shutdown is not reverted', t => {
	t.like(mergeServerRecord(testServer({state: 'draining', sequence: 5}), testServer({sequence: 6})), {state: 'draining', sequence: 6});
	t.like(mergeServerRecord(testServer({sequence: 5}), testServer({state: 'draining', sequence: 4})), {state: 'draining', sequence: 5});
});

test('the record of a restarted server replaces that of its previous process, in either order of arrival', t => {
	t.deepEqual(mergeServerRecord(previous, restarted), restarted);
	t.deepEqual(mergeServerRecord(restarted, previous), restarted);
});

test('a record without a start time does not change one that has it', t => {
	t.deepEqual(mergeServerRecord(restarted, testServer({sequence: 99, state: 'gone'})), restarted);
});
