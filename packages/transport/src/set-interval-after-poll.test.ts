import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {blockEventLoop, connectWithPendingInput} from './_test-event-loop.js';
import {setIntervalAfterPoll} from './set-interval-after-poll.js';

const intervalMilliseconds = 50;

test('input received while the event loop was blocked is read before the next callback, and no callback runs after the interval is stopped', async t => {
	const order: string[] = [];
	const connection = await connectWithPendingInput(() => {
		order.push('input');
	});
	const stop = setIntervalAfterPoll(intervalMilliseconds, () => {
		order.push('callback');
	});
	blockEventLoop(4 * intervalMilliseconds);
	await delay(2 * intervalMilliseconds);
	t.deepEqual(order.slice(0, 2), ['input', 'callback']);
	stop();
	const {length} = order;
	await delay(2 * intervalMilliseconds);
	t.is(order.length, length);
	connection.close();
});
