import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {openTunnel} from './open-tunnel.js';
import {sendHttpRequest} from './send-http-request.js';

const host = '127.0.0.1';
/** Longer than any test waits, in milliseconds. */
const timeout = 60_000;

/** How an answer that has no body yet goes on without end. */
const heads: Readonly<Record<string, {readonly start: string; readonly rest: string}>> = {
	'interim answers': {start: '', rest: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)},
	'a status line': {start: 'HTTP/1.1 200 ', rest: 'x'.repeat(16 * 1024)},
	'a header line': {start: 'HTTP/1.1 200 OK\r\nA: ', rest: 'x'.repeat(16 * 1024)},
	'header lines': {start: 'HTTP/1.1 200 OK\r\n', rest: 'A: b\r\n'.repeat(2000)},
	'bytes that are no answer': {start: '', rest: 'x'.repeat(16 * 1024)},
};

/** Starts a server that answers without end. */
async function startServer(t: ExecutionContext, {start, rest}: {readonly start: string; readonly rest: string}): Promise<number> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		const pump = (): void => {
			while (!socket.destroyed && socket.write(rest)) {
				// The connection takes more.
			}
		};

		socket.on('error', () => undefined);
		socket.on('drain', pump);
		socket.once('data', () => {
			socket.write(start);
			pump();
		});
	}).listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return (server.address() as AddressInfo).port;
}

for (const [name, head] of Object.entries(heads)) {
	test(`a request fails whose answer is ${name} without end`, async t => {
		const port = await startServer(t, head);
		const answer = await sendHttpRequest({
			address: `http://${host}:${port}`, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: true,
		});
		t.false(answer.swap().unsafeCoerce().neverSent);
	});

	test(`a tunnel is not opened by a peer whose answer is ${name} without end`, async t => {
		const port = await startServer(t, head);
		const opened = await openTunnel({instance: 'a' as InstanceId, host, port}, {
			self: 'b' as InstanceId, key: 'k', target: {host, port}, timeout,
		});
		t.is(opened.swap().unsafeCoerce().type, 'peer-unavailable');
	});
}
