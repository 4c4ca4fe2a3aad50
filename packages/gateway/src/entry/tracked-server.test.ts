import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {TrackedServer} from './tracked-server.js';

function createTracked(changes: number[] = []): TrackedServer {
	return new TrackedServer(testServer(), {
		now: 1000, onLoadChange(change) {
			changes.push(change);
		},
	});
}

test('the load of a send drops when its answer starts, and to zero when it ends', t => {
	const changes: number[] = [];
	const tracked = createTracked(changes);
	const load = tracked.beginSend(50);
	t.deepEqual([tracked.inFlight, tracked.load], [1, 50]);
	load.markAnswerStarted();
	load.markAnswerStarted();
	t.deepEqual([tracked.inFlight, tracked.load], [1, 1]);
	load.end();
	t.deepEqual([tracked.inFlight, tracked.load], [0, 0]);
	t.deepEqual(changes, [50, -49, -0, -1]);
});

test('the end of a process aborts all sends in progress', t => {
	const tracked = createTracked();
	const loads = Array.from({length: 50}, () => tracked.beginSend(1));
	t.false(loads.some(({processEnd}) => processEnd.aborted));
	tracked.abortSends();
	t.true(loads.every(({processEnd}) => processEnd.aborted));
});

test('a prompt counts as read from the start of its answer, and its answer as a stream until it ends', t => {
	const tracked = createTracked();
	const [first, second] = [tracked.beginSend(9, 250), tracked.beginSend(1)];
	t.deepEqual([tracked.reading, tracked.streams], [350, 0]);
	first.markAnswerStarted();
	first.markAnswerStarted();
	t.deepEqual([tracked.reading, tracked.streams], [100, 1]);
	second.end();
	t.deepEqual([tracked.reading, tracked.streams], [0, 1]);
	first.end();
	t.deepEqual([tracked.reading, tracked.streams], [0, 0]);
});

test('a server whose silence is over gets one request, not all that arrive before it is late', t => {
	const tracked = createTracked();
	const isExpired = (now: number): boolean => tracked.view({
		now, othersLoad: 0, isSilent: false, isZoneUnreachable: false, isEjected: false, isRateLimited: false, isPaused: false,
	}).expired;
	tracked.recordSend(1000);
	t.false(isExpired(1000));
	tracked.recordSilence(1000);
	t.deepEqual([1249, 1250].map(now => isExpired(now)), [true, false]);
	for (const [sentAt, duration] of [[1250, 250], [1500, 250], [1750, 500], [2250, 1000], [3250, 2000]] as const) {
		tracked.recordSend(sentAt);
		t.deepEqual([sentAt + 1, sentAt + duration - 1, sentAt + duration].map(now => isExpired(now)), [true, true, false]);
	}

	tracked.recordSend(5500);
	tracked.recordData(5600);
	t.false(isExpired(5600));
	tracked.recordSend(5600);
	t.false(isExpired(5601));
});
