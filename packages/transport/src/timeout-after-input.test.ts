import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {holdUp} from './_test-hold-up.js';
import {timeoutAfterInput} from './timeout-after-input.js';

const timeoutMilliseconds = 50;
const heldUpMilliseconds = 200;

test('input that arrived while the process was held up comes before the end of the timeout', async t => {
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
	timeoutAfterInput(timeoutMilliseconds, () => {
		order.push('due');
	});
	holdUp(heldUpMilliseconds);
	await delay(2 * timeoutMilliseconds);
	t.deepEqual(order, ['input', 'due']);
	socket.destroy();
	server.close();
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
