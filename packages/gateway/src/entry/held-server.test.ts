import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {HeldServer} from './held-server.js';

function hold(changes: number[] = []): HeldServer {
	return new HeldServer(testServer(), {
		now: 1000, onWork(change) {
			changes.push(change);
		},
	});
}

test('the work of a send counts until its answer begins, little from then on, and nothing after its end', t => {
	const changes: number[] = [];
	const held = hold(changes);
	const load = held.begin(50);
	t.deepEqual([held.inFlight, held.work], [1, 50]);
	load.answerBegins();
	load.answerBegins();
	t.deepEqual([held.inFlight, held.work], [1, 1]);
	load.end();
	t.deepEqual([held.inFlight, held.work], [0, 0]);
	t.deepEqual(changes, [50, -49, -0, -1]);
});

test('the end of a process reaches each send in progress', t => {
	const held = hold();
	const loads = Array.from({length: 50}, () => held.begin(1));
	t.false(loads.some(({processEnd}) => processEnd.aborted));
	held.endProcess();
	t.true(loads.every(({processEnd}) => processEnd.aborted));
});
