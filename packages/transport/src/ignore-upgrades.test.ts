import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {connectCaller, createTrackedServer} from './_test-caller.js';
import {ignoreUpgrades} from './ignore-upgrades.js';
import {whenCallerLeaves} from './when-caller-leaves.js';

const upgrade = 'Connection: keep-alive, Upgrade\r\nUpgrade: h2c';
const get = 'GET /get HTTP/1.1\r\nHost: a\r\n\r\n';
const getUpgrade = `GET /upgrade HTTP/1.1\r\nHost: a\r\n${upgrade}\r\n\r\n`;
const postUpgrade = `POST /post HTTP/1.1\r\nHost: a\r\n${upgrade}\r\nContent-Length: 4\r\n\r\nbody`;
const chunkedUpgrade = `POST /chunked HTTP/1.1\r\nHost: a\r\n${upgrade}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`;

/** Writes parts of requests one after the other, and returns the answers, each the path and the body of its request. */
async function send(t: ExecutionContext, parts: readonly string[], {count, answerAfter = 20}: {readonly count: number; readonly answerAfter?: number}): Promise<readonly string[]> {
	const answer = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
		const body = await readText(message);
		await delay(answerAfter);
		response.end(`<${message.url} ${message.headers.host} ${body}>`);
	};

	const {server, unfinished} = createTrackedServer((message, response) => {
		void answer(message, response);
	}, {keepAliveTimeout: 10});
	ignoreUpgrades(server, unfinished);
	const caller = await connectCaller(t, server);
	caller.setNoDelay(true);
	let received = '';
	const answers = (): readonly string[] => Array.from(received.matchAll(/<(?<text>[^>]*)>/gv), ({groups}) => groups!.text!);
	caller.on('data', chunk => {
		received += String(chunk);
	});
	for (const part of parts) {
		caller.write(part);
		await delay(50);
	}

	while (answers().length < count && !caller.destroyed) {
		await delay(10);
	}

	return answers();
}

const manyHeaders = `POST /post HTTP/1.1\r\nHost: a\r\n${upgrade}\r\n${'A: b\r\n'.repeat(1100)}Content-Length: ${get.length}\r\n\r\n${get}`;
const rows: ReadonlyArray<readonly [name: string, parts: readonly string[], answers: readonly string[]]> = [
	['alone', [getUpgrade], ['/upgrade a ']],
	['with a body', [postUpgrade], ['/post a body']],
	['with a body in chunks', [chunkedUpgrade], ['/chunked a body']],
	['in parts', [postUpgrade.slice(0, 30), postUpgrade.slice(30, -2), postUpgrade.slice(-2), get], ['/post a body', '/get a ']],
	['before another request', [getUpgrade + get], ['/upgrade a ', '/get a ']],
	['with a body before another request', [postUpgrade + get], ['/post a body', '/get a ']],
	['with its length behind more than a thousand headers', [manyHeaders + get], [`/post a ${get}`, '/get a ']],
	['behind and before other requests', [get + postUpgrade + getUpgrade + get], ['/get a ', '/post a body', '/upgrade a ', '/get a ']],
	['many times', Array.from({length: 20}, () => getUpgrade), Array.from({length: 20}, () => '/upgrade a ')],
];

for (const [name, parts, answers] of rows) {
	for (const answerAfter of [0, 120]) {
		test(`a request that asks for another protocol ${name} is answered like any other, ${answerAfter} ms`, async t => {
			t.deepEqual(await send(t, parts, {count: answers.length, answerAfter}), answers);
		});
	}
}

test('a connection has no more listeners after many requests that ask for another protocol than after one', async t => {
	const counts: number[] = [];
	const {server, unfinished} = createTrackedServer((message, response) => {
		const {socket} = message;
		counts.push(socket.eventNames().reduce((sum, name) => sum + socket.listenerCount(name), 0));
		response.end('done');
	});
	ignoreUpgrades(server, unfinished);
	const caller = await connectCaller(t, server);
	for (let count = 0; count < 12; count++) {
		caller.write(getUpgrade);
		await once(caller, 'data');
	}

	t.deepEqual(counts, counts.map(() => counts[0]!));
});

for (const way of ['ends', 'resets'] as const) {
	test(`a caller that ${way} its connection while its request for another protocol waits is seen, and the request is not handled`, async t => {
		let requests = 0;
		const {server, unfinished} = createTrackedServer(() => {
			requests++;
		});
		ignoreUpgrades(server, unfinished);
		const caller = await connectCaller(t, server);
		caller.on('error', () => undefined);
		const connected = once(server, 'connection') as Promise<[Socket]>;
		const upgraded = once(server, 'upgrade');
		caller.write(get + getUpgrade);
		const [connection] = await connected;
		await upgraded;
		const left = new Promise(resolve => {
			connection.once('end', resolve);
			connection.once('close', resolve);
		});
		if (way === 'ends') {
			caller.end();
		} else {
			caller.resetAndDestroy();
		}

		await left;
		await delay(50);
		t.is(requests, 1);
		connection.destroy();
	});
}

test('a caller that ends its connection with more requests behind one for another protocol is seen', async t => {
	let hasLeft = false;
	const {server, unfinished} = createTrackedServer((_message, response) => {
		whenCallerLeaves(response, () => {
			hasLeft = true;
		});
	});
	ignoreUpgrades(server, unfinished);
	const caller = await connectCaller(t, server);
	const connected = once(server, 'connection') as Promise<[Socket]>;
	const upgraded = once(server, 'upgrade');
	caller.write(get + getUpgrade);
	const [connection] = await connected;
	await upgraded;
	caller.end(get);
	await delay(500);
	t.true(hasLeft);
	connection.destroy();
});
