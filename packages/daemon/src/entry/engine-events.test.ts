import {createServer, type RequestListener, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {sendHttpRequest} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {type AttemptOutput} from './attempt-output.js';
import {readEngineEvents} from './engine-events.js';

const head = {status: 200, headers: {}};
const chunk = (content: string): string => `data: {"id":"1",  "choices":[{"delta":{"content":"${content}"}}], "usage":null}\n\n`;
const whole = `${chunk('Tag ')}${chunk('4711')}data: [DONE]\n\n`;

async function startEngine(t: ExecutionContext, answer: RequestListener): Promise<{readonly address: string; readonly sockets: readonly Socket[]}> {
	const sockets: Socket[] = [];
	const server: Server = createServer(answer);
	server.on('connection', socket => {
		sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return {address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, sockets};
}

async function call(address: string): Promise<readonly AttemptOutput[]> {
	const answer = await sendHttpRequest({
		address, method: 'POST', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: true,
	});
	const {message} = answer.unsafeCoerce();
	const outputs: AttemptOutput[] = [];
	for await (const output of readEngineEvents(message, {
		head, resumeFrom: 0, tokensBefore: 0, maximumBytes: 10_000, onBytes() {
			// These tests have no stall timer.
		},
	})) {
		outputs.push(output);
	}

	if (!message.closed) {
		await once(message, 'close');
	}

	return outputs;
}

test('pieces received in one read are joined and forwarded byte for byte', async t => {
	const {address} = await startEngine(t, (_request, response) => {
		response.end(whole);
	});
	const outputs = await call(address);
	t.deepEqual(outputs, [
		{type: 'head', head},
		{
			type: 'piece', piece: {
				offset: 0, length: 8, tokens: 2, text: 'Tag 4711', payload: `${chunk('Tag ')}${chunk('4711')}`,
			},
		},
		{
			type: 'complete', offset: 8, usage: {input: 0, output: 2}, trailer: 'data: [DONE]\n\n',
		},
	]);
});

test('the connection of a complete streamed answer is reused', async t => {
	const {address, sockets} = await startEngine(t, (_request, response) => {
		response.end(whole);
	});
	for (let number = 0; number < 3; number++) {
		const outputs = await call(address);
		t.is(outputs.at(-1)?.type, 'complete');
	}

	t.is(sockets.length, 1);
});

test('a connection whose response stays open after the last event is destroyed', async t => {
	const {address, sockets} = await startEngine(t, (_request, response) => {
		response.write(whole);
	});
	const outputs = await call(address);
	t.is(outputs.at(-1)?.type, 'complete');
	const [socket] = sockets;
	if (socket?.closed === false) {
		await once(socket, 'close');
	}

	t.true(socket?.closed);
});

test('pieces before a malformed event are forwarded before the failure', async t => {
	const {address} = await startEngine(t, (_request, response) => {
		response.end(`${chunk('Tag ')}data: {]\n\n${whole}`);
	});
	const outputs = await call(address);
	t.deepEqual(outputs.map(({type}) => type), ['head', 'piece', 'failed']);
});
