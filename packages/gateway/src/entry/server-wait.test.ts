import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {ServerWait} from './server-wait.js';

/** Waits for a server as a request with a time limit of 300 ms does that is handled 100 ms after its arrival. */
function createWait(nextServerChange: (milliseconds: number) => void) {
	let now = 100;
	return new ServerWait({
		clock: {monotonic: () => now},
		random: () => 0.5,
		servers: {availability: {isEvacuated: () => false, waitFor: () => 0}},
		borrower: {borrow: async () => false},
		async nextServerChange(milliseconds) {
			now += milliseconds;
			nextServerChange(milliseconds);
		},
	}, {
		service: 'labels' as ServiceId, allowance: {sends: 0, connectionFailures: 0}, deadlineAt: 300,
	});
}

test('a request that is handled late still waits for the first server, and for a bounded time', async t => {
	const waits: number[] = [];
	const wait = createWait(milliseconds => {
		waits.push(milliseconds);
	});
	t.is(await wait.next('none'), undefined);
	const failed = await wait.next('none');
	t.is(failed?.kind, 'no-server');
	t.deepEqual(waits, [12]);
});
