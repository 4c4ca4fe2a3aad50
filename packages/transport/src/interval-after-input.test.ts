import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {holdUp} from './_test-hold-up.js';
import {intervalAfterInput} from './interval-after-input.js';

const everyMilliseconds = 50;

test('input that arrived while the process was held up is read before the next time', async t => {
	const server = createServer(socket => {
		socket.write('answer');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const order: string[] = [];
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('data', () => {
		order.push('input');
	});
	await once(socket, 'connect');
	const stop = intervalAfterInput(everyMilliseconds, () => {
		order.push('time');
	});
	holdUp(4 * everyMilliseconds);
	await delay(everyMilliseconds / 2);
	t.deepEqual(order.slice(0, 2), ['input', 'time']);
	stop();
	const {length} = order;
	await delay(2 * everyMilliseconds);
	t.is(order.length, length);
	socket.destroy();
	server.close();
});
