import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {listenRaw} from './_test-raw-listen.js';
import {listen, plainDialect} from './_test-run.js';
import {checkServerIdentity, type CheckServerIdentityOptions, type ServerIdentity} from './check-server-identity.js';

async function check(port: number, {timeout = 1000, ...options}: Partial<Pick<CheckServerIdentityOptions, 'timeout' | 'connectTimeout'>> = {}): Promise<ServerIdentity> {
	return checkServerIdentity(testServer({id: 'i-1' as ServerId, port}), {
		dialect: plainDialect, healthPath: '/healthz', relay: undefined, timeout, ...options,
	});
}

test('a process is asked by a health check whether it is the server', async t => {
	const paths: Array<string | undefined> = [];
	for (const [id, expected] of [['i-1', 'same'], ['i-2', 'other']] as const) {
		const port = await listen(t, ({url}, response) => {
			paths.push(url);
			response.writeHead(200, {server: id}).end();
		});
		t.is(await check(port), expected);
	}

	t.deepEqual(paths, ['/healthz', '/healthz']);
});

test('a process that does not answer in time, or no process at all, is not taken for the server', async t => {
	const port = await listen(t, () => {
		// Never answers.
	});
	t.is(await check(port, {timeout: 50}), 'unknown');
	t.is(await check(1), 'unknown');
});

test('a process that answers with a malformed head is not taken for the server', async t => {
	const port = await listenRaw(t, socket => {
		socket.write('HTTP/1.1 000 OK\r\nServer: i-1\r\nContent-Length: 0\r\n\r\n');
	});
	t.is(await check(port), 'unknown');
});

test('a server that is silent after it has accepted the check is asked for as long as it may be silent', async t => {
	const port = await listen(t, (_message, response) => {
		setTimeout(() => {
			response.writeHead(200, {server: 'i-1'}).end();
		}, 300);
	});
	t.is(await check(port, {timeout: 10_000, connectTimeout: 100}), 'same');
});

test('a process that listens only after the one that was asked has ended is not taken for the server', async t => {
	const ending = createServer();
	ending.listen(0, '127.0.0.1');
	await once(ending, 'listening');
	const {port} = ending.address() as AddressInfo;
	const identity = check(port, {timeout: 10_000});
	const [socket] = await once(ending, 'connection') as [Socket];
	const replacement = createHttpServer((_message, response) => {
		response.writeHead(200, {server: 'i-1'}).end();
	});
	t.teardown(() => {
		replacement.closeAllConnections();
		replacement.close();
	});
	ending.close(() => {
		replacement.listen(port, '127.0.0.1');
	});
	const isReplaced = once(replacement, 'listening');
	socket.destroy();
	t.is(await identity, 'unknown');
	await isReplaced;
	t.is(await check(port), 'same');
});

test('a process that answers with interim answers without end is not taken for the server, without waiting for the time limit', async t => {
	const interim = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500);
	const server = createServer(socket => {
		const pump = (): void => {
			while (!socket.destroyed && socket.write(interim)) {
				// The connection takes more.
			}
		};

		socket.on('error', () => undefined);
		socket.on('drain', pump);
		socket.once('data', pump);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	t.is(await check((server.address() as AddressInfo).port, {timeout: 1_000_000}), 'unknown');
});
