import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {HeldServer} from './held-server.js';

function createTracked(changes: number[] = []): HeldServer {
	return new HeldServer(testServer(), {
		now: 1000, onWork(change) {
			changes.push(change);
		},
	});
}

test('the load of a send drops when its answer starts, and to zero when it ends', t => {
	const changes: number[] = [];
	const tracked = createTracked(changes);
	const load = tracked.begin(50);
	t.deepEqual([tracked.inFlight, tracked.work], [1, 50]);
	load.answerBegins();
	load.answerBegins();
	t.deepEqual([tracked.inFlight, tracked.work], [1, 1]);
	load.end();
	t.deepEqual([tracked.inFlight, tracked.work], [0, 0]);
	t.deepEqual(changes, [50, -49, -0, -1]);
});

test('the end of a process aborts all sends in progress', t => {
	const tracked = createTracked();
	const loads = Array.from({length: 50}, () => tracked.begin(1));
	t.false(loads.some(({processEnd}) => processEnd.aborted));
	tracked.endProcess();
	t.true(loads.every(({processEnd}) => processEnd.aborted));
});
