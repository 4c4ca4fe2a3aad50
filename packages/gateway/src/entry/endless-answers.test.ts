import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {type ServerId} from '@valehitch/core';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {control, sendRequests} from './_test-run.js';

const chunkHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
const filler = 'x'.repeat(16 * 1024);
const fillerChunk = `4000\r\n${filler}\r\n`;
/** More than an instance reads until its next check. */
const mostBytes = 1024 * 1024 * 1024;

/** How an answer begins, and what follows without end. */
const endlessAnswers: Readonly<Record<string, {readonly start: string; readonly rest: string; readonly kind?: 'streaming'; readonly reason?: RegExp}>> = {
	'a body in chunks': {start: `${chunkHead}\r\n`, rest: fillerChunk, reason: /^A body of more than \d+ bytes$/v},
	'a body without a length': {start: 'HTTP/1.1 200 OK\r\n\r\n', rest: filler, reason: /^A body of more than \d+ bytes$/v},
	'a header line': {start: 'HTTP/1.1 200 OK\r\nA: ', rest: filler},
	'header lines': {start: 'HTTP/1.1 200 OK\r\n', rest: 'A: b\r\n'.repeat(2000)},
	'interim answers': {start: '', rest: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500), reason: /^More than 64 interim answers$/v},
	'a status line': {start: 'HTTP/1.1 200 ', rest: filler},
	'the size of a chunk': {start: `${chunkHead}\r\n`, rest: '0'.repeat(16 * 1024), reason: /^\d+ bytes for a body of 0$/v},
	'an extension of a chunk': {start: `${chunkHead}\r\n1;a=`, rest: filler},
	'the body of a rejection in chunks': {start: 'HTTP/1.1 429 Busy\r\nTransfer-Encoding: chunked\r\n\r\n', rest: fillerChunk},
	'the size of a chunk of a rejection': {start: 'HTTP/1.1 429 Busy\r\nTransfer-Encoding: chunked\r\n\r\n', rest: '0'.repeat(16 * 1024)},
	'the body of a rejection with a length': {start: `HTTP/1.1 429 Busy\r\nContent-Length: ${2 * mostBytes}\r\n\r\n`, rest: filler},
	'the body of a rejection without a length': {start: 'HTTP/1.1 429 Busy\r\n\r\n', rest: filler},
	trailers: {start: `${chunkHead}\r\n0\r\n`, rest: 'A: b\r\n'.repeat(2000)},
	'an event': {
		start: `${chunkHead}Content-Type: text/event-stream\r\n\r\n`, rest: fillerChunk, kind: 'streaming', reason: /^\d+ bytes that complete no event$/v,
	},
	'bytes that are no answer': {start: '', rest: filler},
};

/** Starts two servers, of which the first that gets a request answers without end, and the other one well. */
async function startServers(t: ExecutionContext, {start, rest, goodAnswer}: {readonly start: string; readonly rest: string; readonly goodAnswer: string}) {
	let onClose: (() => void) | undefined;
	const closed = new Promise<void>(resolve => {
		onClose = resolve;
	});
	const sent = {bytes: 0, closed};
	let requests = 0;
	const sockets = new Set<Socket>();
	const answer = (socket: Socket): void => {
		requests++;
		if (requests > 1) {
			socket.end(goodAnswer);
			return;
		}

		socket.write(start);
		const pump = (): void => {
			if (sent.bytes >= mostBytes) {
				socket.destroy();
			}

			while (!socket.destroyed && sent.bytes < mostBytes) {
				sent.bytes += rest.length;
				if (!socket.write(rest)) {
					socket.once('drain', pump);
					return;
				}
			}
		};

		pump();
		socket.on('close', () => {
			onClose?.();
		});
	};

	const ports: number[] = [];
	for (let index = 0; index < 2; index++) {
		const server = createServer(socket => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				answer(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		ports.push((server.address() as AddressInfo).port);
		t.teardown(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		});
	}

	return {ports, sent};
}

for (const [name, {start, rest, kind = 'safe', reason = /^none$/v}] of Object.entries(endlessAnswers)) {
	test(`a server that sends ${name} without end is cut off, and the request is answered by another one`, async t => {
		const text = kind === 'streaming' ? 'data: found\n\n' : 'found';
		const goodAnswer = `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\nConnection: close\r\n\r\n${text}`;
		const {ports, sent} = await startServers(t, {start, rest, goodAnswer});
		const reasons: string[] = [];
		const {answers} = await sendRequests(t, 1, {
			log(event, fields) {
				reasons.push(...event === 'server-suspected' && typeof fields.reason === 'string' ? [fields.reason] : []);
			},
			nextServers(servers) {
				servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
			},
			// The servers run in the process of the test, and may pause while it is busy.
			route: testRoute({
				kind, maximumAttempts: 2, timeout: 8000, isResumable: kind === 'streaming', targetGap: 4000,
			}),
		});
		t.is(answers[0]?.text, text);
		await sent.closed;
		t.true(sent.bytes < mostBytes, `${sent.bytes} bytes`);
		t.regex(reasons[0] ?? 'none', reason);
	});
}

test('a server that sends comments without end is cut off, and the stream goes on at another one', async t => {
	const text = 'data: found\n\n';
	const comments = ': a\n\n'.repeat(4096);
	const {ports, sent} = await startServers(t, {
		start: `${chunkHead}Content-Type: text/event-stream\r\n\r\n`,
		rest: `${comments.length.toString(16)}\r\n${comments}\r\n`,
		goodAnswer: `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\nConnection: close\r\n\r\n${text}`,
	});
	const {answers} = await sendRequests(t, 1, {
		nextServers(servers) {
			servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
		route: testRoute({
			kind: 'streaming', maximumAttempts: 2, timeout: 8000, isResumable: true, targetGap: 4000,
		}),
	});
	t.regex(answers[0]?.text ?? '', /^(?:: a\n\n)*data: found\n\n$/v);
	await sent.closed;
	t.true(sent.bytes < mostBytes, `${sent.bytes} bytes`);
});

test('a server that sends answers without end behind its answer is cut off and named, and the first one is forwarded', async t => {
	const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfound';
	const {ports, sent} = await startServers(t, {start: '', rest: answer.repeat(500), goodAnswer: answer});
	const reasons: string[] = [];
	const {answers} = await sendRequests(t, 1, {
		log(event, fields) {
			reasons.push(...event === 'server-suspected' && typeof fields.reason === 'string' ? [fields.reason] : []);
		},
		nextServers(servers) {
			servers.applyRecords([testServer({port: ports[0]!})], {source: control, now: performance.now()});
		},
	});
	t.is(answers[0]?.text, 'found');
	await sent.closed;
	t.true(sent.bytes < mostBytes, `${sent.bytes} bytes`);
	t.regex(reasons[0] ?? 'none', /^\d+ bytes behind the answer$/v);
});
