import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer as createHttpServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type InstanceId} from '@valehitch/core';
import {Relay} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {Right} from 'purify-ts';
import {testServer} from '../servers/_test-server.js';
import {connectionPool} from './connection-pool.js';
import {collectBody} from './collect-body.js';
import {type OverdueWatchOptions} from './overdue-watch.js';
import {sendAttempt, type SendAttemptOptions} from './send-attempt.js';

/** Starts a server that calls `onRequest` when a connection receives data. */
async function serve(t: ExecutionContext, onRequest: (socket: Socket) => void): Promise<SendAttemptOptions> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', () => {
			onRequest(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		server: testServer({port: (server.address() as AddressInfo).port}),
		method: 'GET',
		target: '/x/',
		headers: [['Host', 'desk.example']],
		body: Buffer.alloc(0),
		mayReuseConnection: true,
		connectTimeout: 1000,
		watch: undefined,
		onConnect: () => undefined,
		processEnd: new AbortController().signal,
		isServerRunning: async () => true,
		clock: {now: () => new Date(), monotonic: () => performance.now()},
	};
}

/** A watch that asks for a second server as soon as the request has been written. */
const askAtOnce: OverdueWatchOptions = {
	firstCheckAfter: 1, checkAfter: 1, hasSentData: () => false, isReachable: async () => false, decide: () => ({type: 'send-beside', reason: 'unresponsive'}),
};

/** The turns of the event loop within which an answer ends whose last byte has been read. */
const endTurns = 10;

async function takeTurns(count: number): Promise<void> {
	for (let turn = 0; turn < count; turn++) {
		await nextTurn();
	}
}

/** More than a server that reads nothing is sent, and less than the kernel takes of a request. */
const longBody = Buffer.alloc(262_144, 'coil');

/** Sends a request and checks whether the body of the answer is complete. */
async function isComplete(options: SendAttemptOptions): Promise<boolean> {
	const outcome = await sendAttempt(options).outcome;
	return outcome.type === 'head' && await collectBody(outcome.message, outcome.isComplete) !== undefined;
}

test('an answer without a length is complete if its connection is closed, but not if it is reset', async t => {
	const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it';
	t.true(await isComplete(await serve(t, socket => {
		socket.end(head);
	})));
	// The kernel reports a reset separately, or as the end of the stream if it follows closely on data.
	for (const delay of [0, 50]) {
		t.false(await isComplete(await serve(t, socket => {
			socket.write(head, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, delay);
			});
		})));
	}
});

test('an answer without a length whose server exited is incomplete, though its connection was closed', async t => {
	const options = await serve(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it');
	});
	t.false(await isComplete({...options, isServerRunning: async () => false}));
});

test('an answer that has no body is complete at the end of its head, and its connection is kept', async t => {
	for (const {status, method} of [{status: 204, method: 'GET'}, {status: 304, method: 'GET'}, {status: 200, method: 'HEAD'}]) {
		const options = await serve(t, socket => {
			socket.write(`HTTP/1.1 ${status} Status\r\n\r\n`);
		});
		const outcome = await sendAttempt({...options, method}).outcome;
		const body = outcome.type === 'head' ? collectBody(outcome.message, outcome.isComplete) : undefined;
		t.not(await Promise.race([body, takeTurns(endTurns)]), undefined, `${method} ${status}`);
	}
});

// The length was dropped as one header too many, and the end of the connection awaited.
test('an answer that states its length after a thousand other headers is complete at the end of its body', async t => {
	const options = await serve(t, socket => {
		socket.write(`HTTP/1.1 200 OK\r\n${'a:b\r\n'.repeat(1200)}Content-Length: 2\r\n\r\nok`);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 500);
	});
	t.true(await isComplete(options));
});

test('an answer whose last transfer coding is not chunked ends with its connection, and is incomplete if it is reset', async t => {
	t.false(await isComplete(await serve(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\nhalf of it', () => {
			socket.resetAndDestroy();
		});
	})));
});

test('an answer that is shorter than its Content-Length is incomplete', async t => {
	t.false(await isComplete(await serve(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it');
	})));
});

test('a failed connection is distinguished from a request that may have run', async t => {
	const options = await serve(t, socket => {
		socket.destroy();
	});
	const sent = sendAttempt(options);
	t.false(sent.isSent());
	const lost = await sent.outcome;
	t.is(lost.type, 'lost');
	t.true(sent.isSent());
	const unreachable = await sendAttempt({...options, server: testServer({port: 1})}).outcome;
	t.is(unreachable.type, 'unreachable');
});

test('a request whose server ends in the turn in which its connection opens has not run', async t => {
	const options = await serve(t, () => {
		// Never answers.
	});
	const controller = new AbortController();
	const sent = sendAttempt({
		...options,
		processEnd: controller.signal,
		onConnect() {
			controller.abort();
		},
	});
	const outcome = await sent.outcome;
	t.is(outcome.type, 'unreachable');
	t.false(sent.isSent());
});

test('an unresponsive server and a cancelled send have different outcomes', async t => {
	const options = await serve(t, () => {
		// Never answers.
	});
	const silent = sendAttempt({...options, watch: askAtOnce});
	await silent.overdue;
	silent.giveUp();
	const {type} = await silent.outcome;
	t.is(type, 'silent');
	const sent = sendAttempt(options);
	sent.cancel();
	const cancelled = await sent.outcome;
	t.is(cancelled.type, 'cancelled');
});

for (const name of ['cancelled', 'given up as silent']) {
	test(`a server that reads late does not receive the whole of a request that was ${name}`, async t => {
		const server = createServer({pauseOnConnect: true}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => {
			server.close();
		});
		const options = await serve(t, () => undefined);
		const sent = sendAttempt({
			...options,
			server: testServer({port: (server.address() as AddressInfo).port}),
			method: 'POST',
			body: longBody,
		});
		const [socket] = await once(server, 'connection') as [Socket];
		while (!sent.isSent()) {
			await nextTurn();
		}

		await takeTurns(endTurns);
		if (name === 'cancelled') {
			sent.cancel();
		} else {
			sent.giveUp();
		}

		await sent.outcome;
		let received = 0;
		socket.on('data', (bytes: Uint8Array) => {
			received += bytes.byteLength;
		});
		socket.on('error', () => undefined);
		await new Promise(resolve => {
			socket.on('close', resolve);
			socket.resume();
		});
		t.true(received < longBody.byteLength, `${received} bytes`);
	});
}

test('extra bytes after an answer are not taken for the answer to the next request', async t => {
	let connections = 0;
	const options = await serve(t, socket => {
		connections++;
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\nNumber: ${connections}\r\n\r\nok`);
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nNumber: stray\r\n\r\nlate');
		}, 5);
	});
	t.true(await isComplete(options));
	await new Promise(resolve => {
		setTimeout(resolve, 60);
	});
	const outcome = await sendAttempt(options).outcome;
	t.is(outcome.type === 'head' ? outcome.message.headers.number : outcome.type, '2');
});

test('after a reused connection is unresponsive, no idle connection to that server is reused', async t => {
	const answered = new Set<Socket>();
	const options = await serve(t, socket => {
		if (!answered.has(socket)) {
			answered.add(socket);
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		}
	});
	t.deepEqual(await Promise.all([isComplete(options), isComplete(options)]), [true, true]);
	const silent = sendAttempt({...options, watch: askAtOnce});
	await silent.overdue;
	const next = await sendAttempt(options).outcome;
	t.is(next.type, 'head');
	silent.cancel();
});

test('a send for which a second server is asked still has its answer', async t => {
	let answer: () => void;
	const options = await serve(t, socket => {
		answer = () => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		};
	});
	const {overdue, outcome} = sendAttempt({...options, watch: askAtOnce});
	t.deepEqual(await overdue, {type: 'overdue', reason: 'unresponsive'});
	answer!();
	const {type} = await outcome;
	t.is(type, 'head');
});

test('a send is aborted when its server is known to have restarted, before and during the answer', async t => {
	const head = 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it';
	for (const reply of ['', head]) {
		const process = new AbortController();
		let recordArrival: () => void;
		const arrival = new Promise<void>(resolve => {
			recordArrival = resolve;
		});
		const options = await serve(t, socket => {
			recordArrival();
			socket.write(reply);
		});
		const {outcome} = sendAttempt({...options, processEnd: process.signal});
		if (reply === '') {
			await arrival;
			process.abort();
			const {type} = await outcome;
			t.is(type, 'lost');
		} else {
			const answer = await outcome;
			const body = answer.type === 'head' ? collectBody(answer.message, answer.isComplete) : undefined;
			process.abort();
			t.is(await body, undefined);
		}
	}
});

// Each send on a reused connection left a listener there, which held its request in memory.
test('sends on a reused connection leave no listeners behind', async t => {
	const options = await serve(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	for (let send = 0; send < 3; send++) {
		t.true(await isComplete(options));
		await nextTurn();
	}

	const sockets = connectionPool.freeSockets[connectionPool.getName({host: options.server.host, port: options.server.port})] ?? [];
	t.is(sockets.length, 1);
	t.is(sockets[0]?.listenerCount('connect'), 0);
});

/** Opens connections as a relay does, without another instance. */
const directRelay = new Relay('10.0.0.9' as InstanceId, {
	async open({host, port}) {
		const socket = connect(port, host);
		await once(socket, 'connect');
		return Right({socket, relayTunnels: undefined});
	},
});

/** Starts a server that takes one connection; resolves to what it receives until the connection closes. */
async function receiveOnce(t: ExecutionContext): Promise<{readonly options: SendAttemptOptions; readonly received: Promise<string>}> {
	const server = createServer();
	const received = new Promise<string>(resolve => {
		server.once('connection', socket => {
			let bytes = '';
			socket.setEncoding('utf8');
			socket.on('data', (chunk: string) => {
				bytes += chunk;
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve(bytes);
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {options: {...await serve(t, () => undefined), server: testServer({port})}, received};
}

// The end of the caller's connection may be read after another connection has opened, in the same poll.
for (const mayReuseConnection of [false, true]) {
	const kind = mayReuseConnection ? 'kept' : 'used once';
	test(`a request that is cancelled in the turn in which its connection opens does not reach the server, on a connection that is ${kind}`, async t => {
		const {options, received} = await receiveOnce(t);
		const sent = sendAttempt({
			...options, mayReuseConnection, onConnect() {
				process.nextTick(() => {
					sent.cancel();
				});
			},
		});
		t.is(await received, '');
		const outcome = await sent.outcome;
		t.is(outcome.type, 'cancelled');
	});

	test(`a request that is cancelled in the turn in which its tunnel opens does not reach the server, through a tunnel that is ${kind}`, async t => {
		const {options, received} = await receiveOnce(t);
		const relay = new Relay('10.0.0.8' as InstanceId, {
			async open({host, port}) {
				const socket = connect(port, host);
				await once(socket, 'connect');
				setImmediate(() => {
					sent.cancel();
				});
				return Right({socket, relayTunnels: undefined});
			},
		});
		const sent = sendAttempt({...options, relay, mayReuseConnection});
		t.is(await received, '');
		const outcome = await sent.outcome;
		t.is(outcome.type, 'cancelled');
	});
}

for (const [path, options] of Object.entries({
	'new connections': {mayReuseConnection: false},
	'reused connections': {mayReuseConnection: true},
	'new connections of a relay': {mayReuseConnection: false, relay: directRelay},
	'reused connections of a relay': {mayReuseConnection: true, relay: directRelay},
})) {
	test(`the body of a request does not run as a request of its own, whatever the method, on ${path}`, async t => {
		const received: Array<readonly [method: string | undefined, body: string]> = [];
		const answer = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
			received.push([message.method, await text(message)]);
			response.end('ok');
		};

		const server = createHttpServer((message, response) => {
			void answer(message, response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => {
			server.close();
			server.closeAllConnections();
		});
		const base = {...await serve(t, () => undefined), server: testServer({port: (server.address() as AddressInfo).port}), ...options};
		const bodies = ['', '{}', 'POST /hidden HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi'];
		const sent = ['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PUT', 'PATCH', 'PROPFIND'].flatMap(method => bodies.map(body => [method, body] as const));
		for (const [method, body] of sent) {
			t.true(await isComplete({...base, method, body: Buffer.from(body)}), `${method} with a body of ${body.length} bytes`);
			await nextTurn();
		}

		t.deepEqual(received, sent);
	});
}
