import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {blockEventLoop, connectWithPendingInput} from './_test-event-loop.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

const timeoutMilliseconds = 50;

test('input received while the event loop was blocked is read before the timeout expires', async t => {
	const order: string[] = [];
	const connection = await connectWithPendingInput(() => {
		order.push('input');
	});
	setTimeoutAfterPoll(timeoutMilliseconds, () => {
		order.push('timeout');
	});
	blockEventLoop(4 * timeoutMilliseconds);
	await delay(2 * timeoutMilliseconds);
	t.deepEqual(order, ['input', 'timeout']);
	connection.close();
});

test('a cancelled timeout does not run its callback, even if its timer has already fired', async t => {
	let hasExpired = false;
	const clear = setTimeoutAfterPoll(0, () => {
		hasExpired = true;
	});
	setTimeout(clear, 0);
	await delay(timeoutMilliseconds);
	t.false(hasExpired);
});

for (const milliseconds of [2 ** 31, Number.POSITIVE_INFINITY]) {
	test(`a timeout of ${milliseconds} ms, longer than a timer can be, does not expire at once`, async t => {
		let hasExpired = false;
		const clear = setTimeoutAfterPoll(milliseconds, () => {
			hasExpired = true;
		});
		await delay(timeoutMilliseconds);
		clear();
		t.false(hasExpired);
	});
}
