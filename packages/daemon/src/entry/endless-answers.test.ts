import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type RequestId} from '@valehitch/core';
import {sendHttpRequest} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../system-clock.js';
import {type AttemptOutput} from './attempt-output.js';
import {callEngine} from './engine-call.js';
import {callService} from './service-call.js';

const filler = 'x'.repeat(16 * 1024);
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const extendedChunk = `1;a=${'x'.repeat(4000)}\r\n\n\r\n`;
const requestId = '1' as RequestId;

type AnsweringServer = {
	readonly address: string;
	/** Resolves when its first connection has closed. */
	readonly closed: Promise<unknown>;
};

/** Starts a server whose answers begin as given and go on without end. */
async function startServer(t: ExecutionContext, {start, rest}: {readonly start: string; readonly rest: string}): Promise<AnsweringServer> {
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
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const closed = new Promise(resolve => {
		server.once('connection', socket => {
			socket.on('close', resolve);
		});
	});
	return {address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, closed};
}

type CallOptions = {
	readonly address: string;
	readonly streamed: boolean;
};

const neverStalled = () => ({type: 'wait', reason: 'on-time'} as const);
const common = {
	requestId, attempt: 1, freshConnection: false, send: sendHttpRequest, clock: systemClock, stallMilliseconds: 60_000, reviewPause: neverStalled, maximumBytes: 100_000,
};

const calls: Readonly<Record<string, (options: CallOptions) => AsyncIterable<AttemptOutput>>> = {
	engine: ({address, streamed}) => callEngine({
		...common, address, streamed, versionKey: 'a@1', body: {model: 'a', messages: []}, priority: 0, resumeText: '', tokensBefore: 0, signal: new AbortController().signal,
	}),
	service: ({address}) => callService({
		...common, address, method: 'POST', path: '/', headers: {}, body: new Uint8Array(), repeatable: true, signal: new AbortController().signal,
	}),
};

const bodies: ReadonlyArray<readonly [name: string, peer: 'engine' | 'service', start: string, rest: string, streamed?: boolean]> = [
	['an error', 'engine', 'HTTP/1.1 500 Internal Server Error\r\n\r\n', filler],
	['a refusal', 'engine', 'HTTP/1.1 503 Service Unavailable\r\nValehitch-Outcome: notRun\r\n\r\n', filler],
	['a refusal', 'service', 'HTTP/1.1 503 Service Unavailable\r\nValehitch-Outcome: notRun\r\n\r\n', filler],
	['an answer', 'engine', 'HTTP/1.1 200 OK\r\n\r\n', filler],
	['an answer', 'service', 'HTTP/1.1 200 OK\r\n\r\n', filler],
	['a line of a stream', 'engine', 'HTTP/1.1 200 OK\r\n\r\n', filler, true],
	['the size of a chunk', 'engine', chunkedHead, '0'.repeat(16 * 1024)],
	['the size of a chunk', 'service', chunkedHead, '0'.repeat(16 * 1024)],
	['the size of a chunk', 'engine', chunkedHead, '0'.repeat(16 * 1024), true],
	['extensions of chunks', 'engine', chunkedHead, extendedChunk],
	['extensions of chunks', 'service', chunkedHead, extendedChunk],
	['extensions of chunks', 'engine', chunkedHead, extendedChunk, true],
	['trailers', 'service', `${chunkedHead}0\r\n`, 'A: b\r\n'.repeat(2000)],
	['comments in a stream', 'engine', 'HTTP/1.1 200 OK\r\n\r\n', ': \n\n'.repeat(4000), true],
];

for (const [name, peer, start, rest, streamed = false] of bodies) {
	test(`the connection of the body of ${name} of an ${peer} that does not end is closed${streamed ? ', streamed' : ''}`, async t => {
		const {address, closed} = await startServer(t, {start, rest});
		const outputs: AttemptOutput[] = [];
		for await (const output of calls[peer]!({address, streamed})) {
			outputs.push(output);
		}

		await closed;
		t.true(['not-run', 'failed', 'broken'].includes(outputs.at(-1)!.type));
	});
}
