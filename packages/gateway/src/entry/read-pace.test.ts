import {once} from 'node:events';
import {type IncomingMessage, request as openRequest, type ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import {collectBody} from './collect-body.js';
import {EventStream} from './event-stream.js';
import {relayStream} from './relay-stream.js';

const bodyBytes = 64 * 1024 * 1024;
/** What is read beyond the bound: the rest of a chunk, one in the buffer of the answer and one in that of its connection. */
const mostBytes = 256 * 1024;
/** Sends a long answer, in a thread of its own so that it goes on sending during a turn of the test. */
const server = `
const {createServer} = require('node:http');
const {parentPort} = require('node:worker_threads');
const body = Buffer.alloc(${bodyBytes}, Uint8Array.of(100, 97, 116, 97, 58, 10, 10));
const server = createServer((message, response) => response.writeHead(200, {'Content-Length': body.length}).end(body));
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

async function receiveHead(t: ExecutionContext): Promise<IncomingMessage> {
	const worker = new Worker(server, {eval: true});
	t.teardown(async () => worker.terminate());
	const [port] = await once(worker, 'message') as [number];
	const [message] = await once(openRequest({host: '127.0.0.1', port, agent: false}).end(), 'response') as [IncomingMessage];
	return message;
}

/** Returns the most bytes that the connection of an answer gave in one turn, until its reading has ended. */
async function mostInTurn(message: IncomingMessage, read: () => Promise<unknown>): Promise<number> {
	const {socket} = message;
	const state = {most: 0, before: socket.bytesRead, isReading: true};
	const count = async (): Promise<void> => {
		while (state.isReading) {
			await nextTurn();
			state.most = Math.max(state.most, socket.bytesRead - state.before);
			state.before = socket.bytesRead;
		}
	};

	const counted = count();
	await read();
	state.isReading = false;
	await counted;
	return state.most;
}

test('a body that comes faster than others are read takes a bounded part of a turn', async t => {
	const message = await receiveHead(t);
	const most = await mostInTurn(message, async () => collectBody(message, async () => true));
	t.true(most <= mostBytes, `${most} bytes in a turn`);
});

test('a stream that comes faster than others are read takes a bounded part of a turn', async t => {
	const message = await receiveHead(t);
	const response = {write: () => true, on: () => undefined, off: () => undefined} as unknown as ServerResponse;
	const most = await mostInTurn(message, async () => relayStream({
		message, isComplete: async () => true, response, events: new EventStream(), stallTimeout: 0, isStalled: () => false, onData: () => undefined, onFirstEvent: () => undefined,
	}));
	t.true(most <= mostBytes, `${most} bytes in a turn`);
});
