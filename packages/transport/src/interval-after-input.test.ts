import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {holdUp, openAnswered} from './_test-hold-up.js';
import {intervalAfterInput} from './interval-after-input.js';

const everyMilliseconds = 50;

test('input that arrived while the process was held up is read before the next time, and none follows the end', async t => {
	const order: string[] = [];
	const connection = await openAnswered(() => {
		order.push('input');
	});
	const stop = intervalAfterInput(everyMilliseconds, () => {
		order.push('time');
	});
	holdUp(4 * everyMilliseconds);
	await delay(2 * everyMilliseconds);
	t.deepEqual(order.slice(0, 2), ['input', 'time']);
	stop();
	const {length} = order;
	await delay(2 * everyMilliseconds);
	t.is(order.length, length);
	connection.close();
});
