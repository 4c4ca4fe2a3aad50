import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, request as openRequest, type ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {HeldMemory} from '@valehitch/routing';
import {testServer} from '../servers/_test-server.js';
import {
	control, listen, plainDialect, sendRequests,
} from './_test-run.js';
import {collectAnswer} from './collect-answer.js';
import {EventStream} from './event-stream.js';
import {relayStream} from './relay-stream.js';

const totalBytes = 4 * 1024 * 1024;
/** Below the bound of a single answer, so that only their sum is too much. */
const answerBytes = 900 * 1024;
const answerCount = 20;

/** Receives the heads of answers that send many bytes, and then nothing without an end. */
async function receiveHeads(t: ExecutionContext): Promise<readonly IncomingMessage[]> {
	const port = await listen(t, (_message, response) => {
		response.writeHead(200, {'Content-Type': 'text/event-stream', 'Content-Length': 2 * answerBytes});
		response.write(Buffer.alloc(answerBytes, 'x'));
	});
	return Promise.all(Array.from({length: answerCount}, async () => {
		const [message] = await once(openRequest({host: '127.0.0.1', port, agent: false}).end(), 'response') as [IncomingMessage];
		return message;
	}));
}

/** Waits until each answer has been read or closed, and returns the most bytes that were held meanwhile. */
async function mostHeld(memory: HeldMemory, messages: readonly IncomingMessage[]): Promise<number> {
	const read = new Map(messages.map(message => [message, 0]));
	for (const message of messages) {
		message.on('data', (chunk: Uint8Array) => {
			read.set(message, read.get(message)! + chunk.byteLength);
		});
	}

	let most = 0;
	while (messages.some(message => !message.destroyed && read.get(message)! < answerBytes)) {
		await nextTurn();
		most = Math.max(most, memory.held);
	}

	return most;
}

test('answers that are too long together are cut off before they take all that may be held', async t => {
	const memory = new HeldMemory({totalBytes});
	const messages = await receiveHeads(t);
	const collected = messages.map(async message => collectAnswer({message, framing: 'length', isComplete: async () => true}, {context: {dialect: plainDialect, memory}, held: memory.open()}));
	const most = await mostHeld(memory, messages);
	t.true(most > 0);
	t.true(most < totalBytes, `${most} bytes`);
	for (const message of messages) {
		message.destroy();
	}

	await Promise.all(collected);
	t.is(memory.held, 0);
});

test('events that are too long together are cut off before they take all that may be held', async t => {
	const memory = new HeldMemory({totalBytes});
	const messages = await receiveHeads(t);
	const response = {write: () => true, on: () => undefined, off: () => undefined} as unknown as ServerResponse;
	const ends = messages.map(async message => relayStream({
		message, isComplete: async () => true, response, events: new EventStream(), held: memory.open(), mayHold: bytes => memory.mayCollect(bytes),
		stallTimeout: 0, isStalled: () => false, onData: () => undefined, onFirstEvent: () => undefined,
	}));
	const most = await mostHeld(memory, messages);
	t.true(most > 0);
	t.true(most < totalBytes, `${most} bytes`);
	for (const message of messages) {
		message.destroy();
	}

	t.deepEqual(new Set(await Promise.all(ends)), new Set(['not-held']));
	t.is(memory.held, 0);
});

test('a server whose answer this instance has no room for is not suspected', async t => {
	const body = 'x'.repeat(90_000);
	const port = await listen(t, (_message, response) => {
		response.writeHead(200, {'Content-Length': body.length, Connection: 'close'}).end(body);
	});
	const logged: string[] = [];
	const {answers} = await sendRequests(t, 1, {
		memory: new HeldMemory({totalBytes: 100_000}),
		log(event) {
			logged.push(event);
		},
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.is(answers[0]?.status, 502);
	t.true(logged.includes('answer-not-held'));
	t.false(logged.includes('server-suspected'));
});
