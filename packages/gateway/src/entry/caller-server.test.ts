import {once} from 'node:events';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {whenCallerLeaves} from '@valehitch/transport';
import {type CallerServerOptions, createCallerServer} from './caller-server.js';

/** The body of an answer in two parts. */
const wholeBody = 'c\r\nfirst half, \r\nb\r\nsecond half\r\n0\r\n\r\n';
const chunk = `4000\r\n${'x'.repeat(16 * 1024)}\r\n`;

/** Starts a server with a handler, and a caller of it, whose errors are no failures; returns what the caller receives and what the server records. */
async function start(t: ExecutionContext, handle: CallerServerOptions['handle']) {
	const logged: string[] = [];
	const closes: string[] = [];
	const server = createCallerServer({
		log(kind) {
			logged.push(kind);
		},
		handle,
		onClose(reason) {
			closes.push(reason);
		},
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connected = once(server, 'connection') as Promise<[Socket]>;
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	let text = '';
	let error: Error | undefined;
	caller.on('data', data => {
		text += String(data);
	});
	caller.on('error', given => {
		error = given;
	});
	const closed = new Promise(resolve => {
		caller.on('close', resolve);
	});
	const [connection] = await connected;
	return {
		server, caller, connection, closed, logged, closes, text: () => text, error: () => error,
	};
}

test('an answer that has begun ends whole though bytes that are no request came behind it, nothing is written into it, and requests before them are answered', async t => {
	const {caller, closed, logged, closes, text} = await start(t, async (_message, response) => {
		response.write('first half, ');
		await delay(200);
		response.end('second half');
	});
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2));
	await once(caller, 'data');
	caller.write('no request\r\n\r\n');
	await delay(50);
	caller.write('no request either\r\n\r\n');
	await closed;
	t.deepEqual(text().split(/HTTP\/1\.1 200 OK\r\n[\s\S]*?\r\n\r\n/v), ['', wholeBody, wholeBody]);
	t.deepEqual(logged, ['request-refused']);
	t.deepEqual(closes, ['malformed']);
});

test('an answer that has begun is broken off if the body of its own request is malformed, and nothing is written into it', async t => {
	const {caller, closed, logged, text} = await start(t, async (_message, response) => {
		response.write('first half, ');
	});
	caller.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
	await once(caller, 'data');
	caller.write('no length\r\n');
	await closed;
	t.regex(text(), /first half, \r\n$/v);
	t.deepEqual(logged, ['request-refused']);
});

test('a connection that its caller resets is not recorded as a malformed request', async t => {
	const {caller, connection, logged, closes} = await start(t, async (_message, response) => {
		response.end('done');
	});
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await once(caller, 'data');
	const closed = new Promise<void>(resolve => {
		connection.on('close', () => {
			resolve();
		});
	});
	caller.resetAndDestroy();
	await closed;
	t.deepEqual(logged, []);
	t.deepEqual(closes, []);
});

test('a caller that sends the body of a refused request without end gets the answer, and its connection is closed', async t => {
	const {caller, closed, text} = await start(t, async (message, response) => {
		message.resume();
		response.writeHead(401, {'Content-Length': 0}).end();
	});
	const pump = (): void => {
		while (!caller.destroyed && caller.write(chunk)) {
			// The connection takes more.
		}
	};

	caller.on('drain', pump);
	caller.write('POST / HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n');
	pump();
	// A reset closes it too.
	await closed;
	t.regex(text(), /^HTTP\/1\.1 401 /v);
});

test('a request to open a tunnel is refused, and the request before it on its connection is answered', async t => {
	const {caller, logged, text, error} = await start(t, async (_message, response) => {
		await delay(100);
		response.writeHead(200, {'Content-Length': 4}).end('done');
	});
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nCONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n');
	await once(caller, 'close');
	t.regex(text(), /^HTTP\/1\.1 200 [\s\S]*\r\n\r\ndoneHTTP\/1\.1 501 [\s\S]*\r\nConnection: close\r\n\r\n$/v);
	t.is(error(), undefined);
	t.deepEqual(logged, ['request-refused']);
});

/** What is no request, or none that the server reads. */
const malformed: ReadonlyArray<readonly [name: string, bytes: string]> = [
	['bytes that are no request', 'no request\r\n\r\n'],
	['a head that is too large', `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(60_000)}\r\n\r\n`],
];

for (const [name, bytes] of malformed) {
	test(`whole requests are answered though ${name} came behind them on their connection`, async t => {
		const {caller, text} = await start(t, async (_message, response) => {
			await delay(100);
			response.writeHead(200, {'Content-Length': 4}).end('done');
		});
		caller.write(`GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok${bytes}`);
		await once(caller, 'close');
		t.regex(text(), /^HTTP\/1\.1 200 [\s\S]*\r\n\r\ndoneHTTP\/1\.1 200 [\s\S]*\r\nConnection: close\r\n\r\ndone$/v);
	});
}

test('a whole request is answered though the body of the request behind it is malformed', async t => {
	const {caller, text} = await start(t, async (message, response) => {
		await delay(100);
		// The body that is malformed breaks with its connection.
		await once(message.resume(), 'end').catch(() => undefined);
		response.writeHead(200, {'Content-Length': 4}).end('done');
	});
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n');
	await once(caller, 'close');
	t.regex(text(), /^HTTP\/1\.1 200 [\s\S]*\r\nConnection: close\r\n\r\ndone$/v);
});

test('a connection is closed behind bytes that are no request though its last answer was written before them', async t => {
	const {caller, text} = await start(t, async ({url}, response) => {
		await delay(url === '/slow' ? 300 : 0);
		response.writeHead(200, {'Content-Length': 4}).end('done');
	});
	caller.write('GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await delay(100);
	caller.write('no request\r\n\r\n');
	await once(caller, 'close', {signal: AbortSignal.timeout(5000)});
	t.regex(text(), /^HTTP\/1\.1 200 [\s\S]*\r\n\r\ndoneHTTP\/1\.1 200 [\s\S]*\r\n\r\ndone$/v);
});

for (const hasBegun of [false, true]) {
	for (const way of ['ends', 'resets'] as const) {
		const state = hasBegun ? 'the answer before them has begun' : 'the request before them is not answered';
		test(`a caller that ${way} its connection after bytes that are no request is seen, though ${state}`, async t => {
			let hasLeft = false;
			const {server, caller, connection} = await start(t, async (_message, response) => {
				whenCallerLeaves(response, () => {
					hasLeft = true;
				});
				if (hasBegun) {
					response.write('first half, ');
				}
			});
			caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\nno request\r\n\r\n');
			const closed = new Promise(resolve => {
				connection.once('close', resolve);
			});
			await once(server, 'clientError');
			t.false(hasLeft);
			if (way === 'ends') {
				caller.end();
				await once(caller.resume(), 'close');
			} else {
				caller.resetAndDestroy();
			}

			await closed;
			t.true(hasLeft);
		});
	}
}
