import test from 'ava';
import {confirmCaller} from './confirm-caller.js';

/** Confirms a caller while waits take the given times in milliseconds, and tells the number of waits. */
async function confirm(caller: AbortSignal, {waits, onWait = () => undefined}: {readonly waits: readonly number[]; readonly onWait?: () => void}) {
	let now = 0;
	let count = 0;
	const lines: string[] = [];
	const confirmed = await confirmCaller(caller, {
		clock: {now: () => new Date(1_700_000_000_000 + now), monotonic: () => now},
		order: 'evacuation of hall-a',
		log(kind) {
			lines.push(kind);
		},
		async wait(milliseconds) {
			now += waits[count] ?? milliseconds;
			count++;
			onWait();
		},
	});
	return {isPresent: confirmed.isRight(), count, lines};
}

test('a caller that keeps its connection open is present after one wait', async t => {
	t.deepEqual(await confirm(new AbortController().signal, {waits: [100]}), {isPresent: true, count: 1, lines: []});
});

test('a caller that has left, before the wait or during it, is not present', async t => {
	t.deepEqual(await confirm(AbortSignal.abort(), {waits: []}), {isPresent: false, count: 1, lines: ['order-abandoned']});
	const caller = new AbortController();
	t.deepEqual(await confirm(caller.signal, {
		waits: [100], onWait() {
			caller.abort();
		},
	}), {isPresent: false, count: 1, lines: ['order-abandoned']});
});

test('a wait that took too long is repeated, since the close of the connection may not be read yet', async t => {
	const caller = new AbortController();
	let waits = 0;
	t.deepEqual(await confirm(caller.signal, {
		waits: [3900, 100], onWait() {
			waits++;
			if (waits === 2) {
				caller.abort();
			}
		},
	}), {isPresent: false, count: 2, lines: ['order-abandoned']});
});

test('an instance that is always busy still finds its callers present', async t => {
	t.deepEqual(await confirm(new AbortController().signal, {waits: [300, 300, 300]}), {isPresent: true, count: 2, lines: []});
});
