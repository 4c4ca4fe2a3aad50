import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {blockEventLoop, connectWithPendingInput} from './_test-event-loop.js';
import {readPendingInput} from './read-pending-input.js';

test('input that arrived while the event loop was blocked is read before the wait ends', async t => {
	let isRead = false;
	const connection = await connectWithPendingInput(() => {
		isRead = true;
	});
	await turn();
	blockEventLoop(50);
	await readPendingInput();
	t.true(isRead);
	connection.close();
});

/** Sends a request on a new connection when it is told a port. */
const callerCode = String.raw`
	const {connect} = require('node:net');
	const {parentPort} = require('node:worker_threads');
	parentPort.on('message', port => {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n');
	});
	parentPort.postMessage('ready');
`;

test('a request on a connection that was opened while the event loop was blocked is read before the wait ends', async t => {
	let requests = 0;
	const server = createServer((_message, response) => {
		requests++;
		response.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = new Worker(callerCode, {eval: true});
	t.teardown(async () => {
		server.close();
		server.closeAllConnections();
		await caller.terminate();
	});
	await once(caller, 'message');
	caller.postMessage((server.address() as AddressInfo).port);
	blockEventLoop(1000);
	await readPendingInput();
	t.is(requests, 1);
});
