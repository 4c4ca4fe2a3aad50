import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {CallerConnections} from './caller-connections.js';

const idleMilliseconds = 1000;

async function start(t: ExecutionContext, {keptFor = idleMilliseconds} = {}) {
	let now = 0;
	const connections = new CallerConnections({monotonic: () => now});
	const responses: ServerResponse[] = [];
	const server = createServer((_message, response) => {
		connections.recordRequest(response, keptFor);
		responses.push(response);
	});
	server.on('connection', socket => {
		connections.add(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.on('error', () => undefined);
	await once(server, 'connection');
	return {
		connections,
		caller,
		async request(): Promise<ServerResponse> {
			const arrived = once(server, 'request');
			caller.write('GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n');
			await arrived;
			return responses.at(-1)!;
		},
		advance(milliseconds: number) {
			now += milliseconds;
		},
	};
}

test('a connection without a request counts as used for the idle time after it was opened', async t => {
	const {connections, advance} = await start(t);
	advance(idleMilliseconds - 1);
	t.true(connections.isAnyUsedWithin(idleMilliseconds));
	advance(1);
	t.false(connections.isAnyUsedWithin(idleMilliseconds));
});

test('the idle time of a connection begins when its last response was sent', async t => {
	const {connections, request, caller, advance} = await start(t);
	const response = await request();
	advance(10 * idleMilliseconds);
	t.true(connections.isAnyUsedWithin(idleMilliseconds));
	const closed = once(response, 'close');
	response.end();
	await Promise.all([closed, once(caller, 'data')]);
	advance(idleMilliseconds - 1);
	t.true(connections.isAnyUsedWithin(idleMilliseconds));
	advance(1);
	t.false(connections.isAnyUsedWithin(idleMilliseconds));
});

test('a connection counts as used for as long as its last response allows, though the idle time is shorter', async t => {
	const {connections, request, caller, advance} = await start(t, {keptFor: 3 * idleMilliseconds});
	const response = await request();
	const closed = once(response, 'close');
	response.end();
	await Promise.all([closed, once(caller, 'data')]);
	advance((3 * idleMilliseconds) - 1);
	t.true(connections.isAnyUsedWithin(idleMilliseconds));
	advance(1);
	t.false(connections.isAnyUsedWithin(idleMilliseconds));
});

test('a connection that has closed does not count as used', async t => {
	const {connections, request, caller} = await start(t);
	const response = await request();
	const {socket} = response.req;
	caller.destroy();
	await once(socket, 'close');
	t.false(connections.isAnyUsedWithin(idleMilliseconds));
});

test('only connections without a request are ended', async t => {
	const {connections, request, caller} = await start(t);
	const response = await request();
	t.false(connections.endIdle());
	const answered = Promise.all([once(caller, 'data'), once(response, 'close')]);
	response.end('done');
	const [[answer]] = await answered as [[unknown], unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 /v);
	const ended = once(caller, 'end');
	t.true(connections.endIdle());
	await ended;
});

test('a connection that is added once more keeps its requests, and no listener is added', async t => {
	const {connections, request} = await start(t);
	const {req: {socket}} = await request();
	const listeners = socket.listenerCount('close');
	connections.add(socket);
	t.is(socket.listenerCount('close'), listeners);
	t.false(connections.endIdle());
});
