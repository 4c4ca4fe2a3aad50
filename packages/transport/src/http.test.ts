import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import {failure} from '@valehitch/core';
import test from 'ava';
import {type HttpServer, startHttpServer} from './http-server.js';
import {sendProblem} from './problem-details.js';
import {readBody} from './read-body.js';
import {sendHttpRequest} from './send-http-request.js';
import {whenCallerLeaves} from './when-caller-leaves.js';

const bodyLimit = 100;

function doNothing(): void {
	// The tests check the response instead.
}

async function startEcho(): Promise<HttpServer> {
	return startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(request, response) {
			if (request.url === '/throws') {
				throw new Error('Injected handler error');
			}

			const body = await readBody(request, bodyLimit);
			body.caseOf({
				Left(failed) {
					sendProblem(response, failed);
				},
				Right(bytes) {
					response.end(bytes);
				},
			});
		},
		onError: doNothing,
	});
}

async function send(server: HttpServer, path: string, body: string): Promise<{status: number; text: string}> {
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${server.port}`, method: 'POST', path, headers: {}, body: new TextEncoder().encode(body), signal: new AbortController().signal, reuseConnection: false,
	});
	const head = answer.unsafeCoerce();
	const bytes = await readBody(head.message, 10_000);
	return {status: head.status, text: new TextDecoder().decode(bytes.unsafeCoerce())};
}

async function sendRaw(server: HttpServer, text: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(server.port, '127.0.0.1', () => {
			socket.write(text);
		});
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
		});
		socket.on('error', doNothing);
		socket.on('close', () => {
			resolve(received);
		});
	});
}

test('a body up to the limit is read in full, and a larger one is refused', async t => {
	const server = await startEcho();
	t.deepEqual(await send(server, '/', 'hello'), {status: 200, text: 'hello'});
	const refused = await send(server, '/', 'x'.repeat(bodyLimit + 1));
	t.is(refused.status, 413);
	t.like(JSON.parse(refused.text), {kind: 'too-large', outcome: 'notRun'});
	server.destroy();
});

/** What follows whole requests and is no request that is handled. */
const following: ReadonlyArray<readonly [name: string, text: string]> = [
	['bytes that are no request', 'no request\r\n\r\n'],
	['a head that is too large', `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(4000)}\r\n\r\n`],
	['a request with a malformed body', 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n'],
	['a request for a tunnel', 'CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n'],
];

for (const [name, text] of following) {
	test(`whole requests are answered though ${name} came behind them on their connection`, async t => {
		const server = await startEcho();
		t.teardown(() => {
			server.destroy();
		});
		const post = (body: string): string => `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
		t.regex(await sendRaw(server, post('first') + post('second') + text), /^HTTP\/1\.1 200 [\s\S]*\r\n\r\nfirstHTTP\/1\.1 200 [\s\S]*\r\n\r\nsecond/v);
	});
}

test('a caller that leaves after bytes that are no request is seen, though the request before them is not answered', async t => {
	let hasLeft = false;
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(_request, response) {
			await new Promise<void>(resolve => {
				whenCallerLeaves(response, resolve);
			});
			hasLeft = true;
		},
		onError: doNothing,
	});
	const caller = connect(server.port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.destroy();
	});
	caller.end('GET / HTTP/1.1\r\nHost: a\r\n\r\nno request\r\n\r\n');
	await once(caller.resume(), 'close', {signal: AbortSignal.timeout(5000)});
	t.true(hasLeft);
});

test('requests behind one that asks for another protocol are answered', async t => {
	const server = await startEcho();
	t.teardown(() => {
		server.destroy();
	});
	const first = 'POST / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 5\r\n\r\nfirst';
	const last = 'POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast';
	t.regex(await sendRaw(server, first + last), /^HTTP\/1\.1 200 [\s\S]*\r\n\r\nfirstHTTP\/1\.1 200 [\s\S]*\r\n\r\nlast$/v);
});

test('a caller whose body never ends is refused, and its connection is closed', async t => {
	const server = await startEcho();
	const received = await new Promise<string>(resolve => {
		const caller = connect(server.port, '127.0.0.1');
		const chunk = `4000\r\n${'x'.repeat(16 * 1024)}\r\n`;
		const pump = (): void => {
			while (!caller.destroyed && caller.write(chunk)) {
				// The connection takes more.
			}
		};

		let text = '';
		caller.on('data', data => {
			text += String(data);
		});
		caller.on('drain', pump);
		caller.on('error', doNothing);
		caller.on('close', () => {
			resolve(text);
		});
		caller.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
		pump();
	});
	t.regex(received, /^HTTP\/1\.1 413 /v);
	server.destroy();
});

test('an exception in the handler is answered with the outcome unknown', async t => {
	const server = await startEcho();
	const answer = await send(server, '/throws', '');
	t.is(answer.status, 500);
	t.like(JSON.parse(answer.text), {kind: 'internal', outcome: 'unknown'});
	server.destroy();
});

test('invalid HTTP and oversized headers are answered with problem details', async t => {
	const server = await startEcho();
	t.regex(await sendRaw(server, 'HELLO\r\n\r\n'), /^HTTP\/1\.1 400 .*"kind":"malformed-request"/sv);
	t.regex(await sendRaw(server, `GET / HTTP/1.1\r\nHost: x\r\nLong: ${'y'.repeat(4000)}\r\n\r\n`), /^HTTP\/1\.1 431 .*"kind":"headers-too-large"/sv);
	server.destroy();
});

test('a request to a port without a listener is reported as never sent', async t => {
	const server = await startEcho();
	await server.close();
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${server.port}`, method: 'POST', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: false,
	});
	t.like(answer.extract(), {neverSent: true});
});

test('a request that is aborted in the turn in which its connection opens does not reach the server', async t => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const received = once(server, 'connection').then(async ([socket]: Socket[]) => readText(socket!));
	const controller = new AbortController();
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		method: 'POST',
		path: '/',
		headers: {},
		body: new TextEncoder().encode('coil'),
		signal: controller.signal,
		reuseConnection: false,
		onConnect() {
			process.nextTick(() => {
				controller.abort();
			});
		},
	});
	t.true(answer.isLeft());
	t.is(await received, '');
	server.close();
});

test('a server that reads late does not receive the whole of a request that was aborted', async t => {
	const server = createServer({pauseOnConnect: true}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const controller = new AbortController();
	const body = new Uint8Array(262_144);
	const written = new Promise<void>(resolve => {
		void sendHttpRequest({
			address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
			method: 'POST',
			path: '/',
			headers: {},
			body,
			signal: controller.signal,
			reuseConnection: true,
			mayStillSend() {
				resolve();
				return true;
			},
		});
	});
	const [socket] = await once(server, 'connection') as [Socket];
	await written;
	await turn();
	controller.abort();
	let received = 0;
	socket.on('data', (bytes: Uint8Array) => {
		received += bytes.byteLength;
	});
	socket.on('error', doNothing);
	await new Promise(resolve => {
		socket.on('close', resolve);
		socket.resume();
	});
	t.true(received < body.byteLength, `${received} bytes`);
});

test('a request whose connection the server closes is not reported as never sent', async t => {
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(request) {
			request.socket.destroy();
		},
		onError: doNothing,
	});
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${server.port}`, method: 'POST', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: false,
	});
	t.like(answer.extract(), {neverSent: false});
	server.destroy();
});

test('problem details include the kind, outcome and Retry-After time', async t => {
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(_request, response) {
			sendProblem(response, failure('limit-reached', 'Got 11 tokens, wanted at most 10', {retryAfterMilliseconds: 1500}), {requestId: 'r1'});
		},
		onError: doNothing,
	});
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${server.port}`, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: false,
	});
	const head = answer.unsafeCoerce();
	t.is(head.headers['retry-after'], '2');
	const bytes = await readBody(head.message, 10_000);
	t.like(JSON.parse(new TextDecoder().decode(bytes.unsafeCoerce())), {kind: 'limit-reached', outcome: 'notRun', requestId: 'r1'});
	server.destroy();
});

test('the body of a request does not run as a request of its own, whatever the method, on new and on reused connections', async t => {
	const received: Array<readonly [method: string | undefined, body: string]> = [];
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(request, response) {
			const body = await readBody(request, bodyLimit);
			received.push([request.method, new TextDecoder().decode(body.unsafeCoerce())]);
			response.end('ok');
		},
		onError: doNothing,
	});
	const bodies = ['', '{}', 'POST /hidden HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi'];
	const sent = ['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PUT', 'PATCH'].flatMap(method => bodies.map(body => [method, body] as const));
	for (const reuseConnection of [false, true]) {
		for (const [method, body] of sent) {
			const answer = await sendHttpRequest({
				address: `http://127.0.0.1:${server.port}`, method, path: '/', headers: {}, body: new TextEncoder().encode(body), signal: new AbortController().signal, reuseConnection,
			});
			await readBody(answer.unsafeCoerce().message, bodyLimit);
		}
	}

	t.deepEqual(received, [...sent, ...sent]);
	server.destroy();
});

test('a body in a transfer coding other than chunks is refused, not passed on without its coding', async t => {
	const server = await startEcho();
	const answer = await sendRaw(server, 'POST / HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n');
	t.regex(answer, /^HTTP\/1\.1 400 /v);
	t.regex(answer, /expected chunked, got gzip, chunked/v);
	server.destroy();
});

test('a request behind an answer that closes the connection is not handled', async t => {
	const handled: string[] = [];
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(request, response) {
			handled.push(request.url ?? '');
			setTimeout(() => {
				response.writeHead(200, {Connection: 'close', 'Content-Length': 4}).end('done');
			}, 50);
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const text = await sendRaw(server, 'GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n');
	t.true(text.endsWith('done'));
	t.deepEqual(handled, ['/1']);
});

test('an exception after a complete answer does not break the answer off', async t => {
	const bytes = 8 * 1024 * 1024;
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(_request, response) {
			response.writeHead(200, {Connection: 'close', 'Content-Length': bytes}).end(new Uint8Array(bytes));
			throw new Error('Injected handler error');
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const text = await sendRaw(server, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	t.true(text.length > bytes, `${text.length} of ${bytes} bytes came`);
});

test('a server that closes answers the request in progress and one that has arrived, and tells their callers to connect anew', async t => {
	let started: (() => void) | undefined;
	const isStarted = new Promise<void>(resolve => {
		started = resolve;
	});
	let finish: (() => void) | undefined;
	const mayFinish = new Promise<void>(resolve => {
		finish = resolve;
	});
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler({url}, response) {
			if (url === '/1') {
				started?.();
				await mayFinish;
			}

			response.end('done');
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const first = sendRaw(server, 'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n');
	await isStarted;
	const idle = connect(server.port, '127.0.0.1');
	idle.on('error', doNothing);
	await once(idle, 'connect');
	await turn();
	idle.write('GET /2 HTTP/1.1\r\nHost: a\r\n\r\n');
	const closed = server.close();
	const [answer] = await Promise.race([once(idle, 'data'), once(idle, 'close')]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 [\s\S]*Connection: close/v);
	finish?.();
	t.regex(await first, /^HTTP\/1\.1 200 [\s\S]*Connection: close/v);
	await closed;
});

test('a server that closes answers all whole requests that have arrived on a connection, and closes it behind the last one', async t => {
	const handled: string[] = [];
	let finish: (() => void) | undefined;
	const mayFinish = new Promise<void>(resolve => {
		finish = resolve;
	});
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler({url = ''}, response) {
			handled.push(url);
			await mayFinish;
			response.end(`done ${url}`);
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const text = sendRaw(server, ['/1', '/2', '/3'].map(url => `GET ${url} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
	while (handled.length === 0) {
		await turn();
	}

	const closed = server.close();
	finish?.();
	const answers = await text;
	t.regex(answers, /done \/1[\s\S]*done \/2[\s\S]*Connection: close[\s\S]*done \/3$/v);
	t.is(answers.match(/Connection: close/gv)?.length, 1);
	await closed;
});

test('a server that closes waits until a slow caller has read a complete answer', async t => {
	const bytes = 32 * 1024 * 1024;
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(_request, response) {
			response.end(new Uint8Array(bytes));
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const caller = connect(server.port, '127.0.0.1');
	caller.on('error', doNothing);
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	let received = 0;
	await once(caller, 'readable');
	const closed = server.close();
	caller.on('data', (chunk: Uint8Array) => {
		received += chunk.byteLength;
	});
	await once(caller, 'close');
	await closed;
	t.true(received > bytes, `${received} of ${bytes} bytes came`);
});

test('a server that closes within a time answers what is ready within it, and closes the other connections', async t => {
	const waiting: ServerResponse[] = [];
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 2048,
		async handler(_request, response) {
			waiting.push(response);
		},
		onError: doNothing,
	});
	t.teardown(server.destroy);
	const late = sendRaw(server, 'GET /late HTTP/1.1\r\nHost: a\r\n\r\n');
	const never = sendRaw(server, 'GET /never HTTP/1.1\r\nHost: a\r\n\r\n');
	while (waiting.length < 2) {
		await turn();
	}

	const closed = server.close({within: 200});
	waiting.find(({req}) => req.url === '/late')!.end('done');
	t.regex(await late, /done$/v);
	await closed;
	t.is(await never, '');
});

test('a request for a tunnel is refused, and the request before it is answered', async t => {
	const server = await startEcho();
	t.teardown(server.destroy);
	const first = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst';
	t.regex(await sendRaw(server, `${first}CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n`), /^HTTP\/1\.1 200 [\s\S]*firstHTTP\/1\.1 501 /v);
});

for (const text of ['CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n', 'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n']) {
	test(`a server that closes within a time closes a connection on which "${text.slice(0, 7)}" waits behind another request`, async t => {
		const server = await startHttpServer({
			host: '127.0.0.1',
			port: 0,
			headerBytes: 2048,
			async handler() {
				// The answer never comes.
			},
			onError: doNothing,
		});
		t.teardown(server.destroy);
		const caller = connect(server.port, '127.0.0.1');
		t.teardown(() => {
			caller.destroy();
		});
		caller.on('error', doNothing);
		caller.write(`GET / HTTP/1.1\r\nHost: a\r\n\r\n${text}`);
		await delay(100);
		const closed = once(caller.resume(), 'close', {signal: AbortSignal.timeout(5000)});
		await server.close({within: 200});
		await t.notThrowsAsync(closed);
	});
}
