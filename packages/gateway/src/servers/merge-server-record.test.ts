import test from 'ava';
import {testServer} from './_test-server.js';
import {mergeServerRecord} from './merge-server-record.js';

const former = testServer({startedAt: 1000, sequence: 80, state: 'gone'});
const restarted = testServer({startedAt: 2000, sequence: 1, slots: 4});

test('of one process the later announcement counts, and a shutdown sticks', t => {
	t.like(mergeServerRecord(testServer({state: 'draining', sequence: 5}), testServer({sequence: 6})), {state: 'draining', sequence: 6});
	t.like(mergeServerRecord(testServer({sequence: 5}), testServer({state: 'draining', sequence: 4})), {state: 'draining', sequence: 5});
});

test('a server that started again counts as it says now, whatever its former process said and in whatever order both come', t => {
	t.deepEqual(mergeServerRecord(former, restarted), restarted);
	t.deepEqual(mergeServerRecord(restarted, former), restarted);
});

test('what does not say when its process started changes nothing of what does', t => {
	t.deepEqual(mergeServerRecord(restarted, testServer({sequence: 99, state: 'gone'})), restarted);
});
