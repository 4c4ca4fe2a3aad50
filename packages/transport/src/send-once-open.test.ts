import {once} from 'node:events';
import {
	Agent, createServer as createHttpServer, type IncomingMessage, request as openRequest,
} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {sendOnceOpen} from './send-once-open.js';

const host = '127.0.0.1';
const body = new TextEncoder().encode('coil');

/** Begins a request to a server that takes one connection; `received` is what it receives until the connection closes. */
async function beginRequest(t: ExecutionContext) {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const received = once(server, 'connection').then(async ([socket]: Socket[]) => text(socket!));
	const {port} = server.address() as AddressInfo;
	const request = openRequest({
		host, port, agent: false, method: 'POST',
	});
	return {request, received};
}

test('requests are sent whole on new and on kept connections', async t => {
	const server = createHttpServer((message, response) => {
		message.pipe(response);
	}).listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const agent = new Agent({keepAlive: true});
	const reused: boolean[] = [];
	for (let count = 0; count < 2; count++) {
		const request = openRequest({
			host, port, agent, method: 'POST', headers: {'content-length': body.byteLength},
		});
		sendOnceOpen(request, body);
		const [message] = await once(request, 'response') as [IncomingMessage];
		t.is(await text(message), 'coil');
		reused.push(request.reusedSocket);
		await nextTurn();
	}

	t.deepEqual(reused, [false, true]);
	agent.destroy();
	server.close();
});

test('a request that is destroyed in the turn in which its connection opens is not sent', async t => {
	const {request, received} = await beginRequest(t);
	request.on('error', () => undefined);
	request.once('socket', socket => {
		socket.once('connect', () => {
			process.nextTick(() => {
				request.destroy();
			});
		});
	});
	sendOnceOpen(request, body);
	t.is(await received, '');
});

test('a request that is destroyed before it has a connection is not sent', async t => {
	const request = openRequest({
		host, port: 1, agent: false, method: 'POST',
	});
	const failed = once(request, 'error');
	sendOnceOpen(request, body);
	request.destroy();
	const [{message}] = await failed as [Error];
	t.is(message, 'socket hang up');
	t.false(request.writableEnded);
});

test('a request that may no longer be sent when its connection is open is not sent', async t => {
	const {request, received} = await beginRequest(t);
	const progress = sendOnceOpen(request, body, {mayStillSend: () => false});
	const [error] = await once(request, 'error') as [Error];
	t.is(error.message, 'The request may no longer be sent');
	t.is(await received, '');
	t.deepEqual(progress, {isSent: false, isWithheld: true});
});

test('a request that may no longer be sent on a kept connection is not sent', async t => {
	let received = 0;
	const server = createHttpServer((message, response) => {
		received++;
		message.pipe(response);
	}).listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const agent = new Agent({keepAlive: true});
	const open = () => openRequest({
		host, port, agent, method: 'POST', headers: {'content-length': body.byteLength},
	});
	const first = open();
	sendOnceOpen(first, body);
	const [message] = await once(first, 'response') as [IncomingMessage];
	await text(message);
	await nextTurn();
	const second = open();
	const outcome = new Promise<string>(resolve => {
		second.on('error', ({message: reason}) => {
			resolve(reason);
		});
		second.on('response', () => {
			resolve('answered');
		});
	});
	sendOnceOpen(second, body, {mayStillSend: () => false});
	t.is(await outcome, 'The request may no longer be sent');
	t.true(second.reusedSocket);
	t.is(received, 1);
	agent.destroy();
	server.close();
});
