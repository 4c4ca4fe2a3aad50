import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {holdUp, openAnswered} from './_test-hold-up.js';
import {timeoutAfterInput} from './timeout-after-input.js';

const timeoutMilliseconds = 50;

test('input that arrived while the process was held up comes before the end of the timeout', async t => {
	const order: string[] = [];
	const connection = await openAnswered(() => {
		order.push('input');
	});
	timeoutAfterInput(timeoutMilliseconds, () => {
		order.push('due');
	});
	holdUp(4 * timeoutMilliseconds);
	await delay(2 * timeoutMilliseconds);
	t.deepEqual(order, ['input', 'due']);
	connection.close();
});

test('a timeout that was ended is not due, also between its end and the reading of input', async t => {
	let isDue = false;
	const clear = timeoutAfterInput(0, () => {
		isDue = true;
	});
	setTimeout(clear, 0);
	await delay(timeoutMilliseconds);
	t.false(isDue);
});
