import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {ServerWait} from './server-wait.js';

type WaitTrial = {
	/** How long the rate limits of all servers leave no send, for the first questions, in milliseconds. */
	readonly rateLimits?: readonly number[];
	/** How long it takes to borrow a send, in milliseconds. */
	readonly borrowMilliseconds?: number;
};

/** Waits for a server as a request with a time limit of 300 ms does that is handled 100 ms after its arrival. */
function createWait(nextServerChange: (milliseconds: number) => void, {rateLimits = [], borrowMilliseconds = 0}: WaitTrial = {}) {
	const waits = [...rateLimits];
	let now = 100;
	return new ServerWait({
		clock: {monotonic: () => now},
		random: () => 0.5,
		servers: {availability: {isEvacuated: () => false, waitFor: () => waits.shift() ?? 0}},
		borrower: {
			async borrow() {
				now += borrowMilliseconds;
				return true;
			},
		},
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

test('a request that has waited for a borrowed send still waits for the first server', async t => {
	const waits: number[] = [];
	const wait = createWait(milliseconds => {
		waits.push(milliseconds);
	}, {rateLimits: [50], borrowMilliseconds: 50});
	t.is(await wait.next('none'), undefined);
	t.deepEqual(waits, []);
	t.is(await wait.next('none'), undefined);
	t.is(waits.length, 1);
});
