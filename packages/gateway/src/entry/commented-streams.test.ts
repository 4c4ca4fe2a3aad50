import {once} from 'node:events';
import {type IncomingMessage, request as openRequest, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {listen} from './_test-run.js';
import {EventStream} from './event-stream.js';
import {type RelayEnd, relayStream} from './relay-stream.js';

const comment = ': a\n\n';
const commentMilliseconds = 20;
const stallMilliseconds = 500;
/** The comments that are sent during three stall timeouts. */
const commentCount = 3 * stallMilliseconds / commentMilliseconds;

type Pieces = {readonly start: string; readonly piece: string};

async function sendPieces(response: ServerResponse, {start, piece}: Pieces): Promise<void> {
	response.writeHead(200, {'Content-Type': 'text/event-stream'}).write(start);
	for (let index = 0; index < commentCount; index++) {
		await delay(commentMilliseconds);
		response.write(piece);
	}

	response.end('data: a\n\n');
}

/** Relays a stream that begins with some bytes, and has a piece again and again before its only event; returns how it ended. */
async function relay(t: ExecutionContext, pieces: Pieces): Promise<RelayEnd> {
	const port = await listen(t, (_message, response) => {
		void sendPieces(response, pieces);
	});
	const [message] = await once(openRequest({host: '127.0.0.1', port, agent: false}).end(), 'response') as [IncomingMessage];
	t.teardown(() => {
		message.destroy();
	});
	return relayStream({
		message,
		isComplete: async () => message.complete,
		response: {write: () => true, on: () => undefined, off: () => undefined} as unknown as ServerResponse,
		events: new EventStream(),
		stallTimeout: stallMilliseconds,
		isStalled: () => true,
		onData: () => undefined,
		onFirstEvent: () => undefined,
	});
}

test('comments keep a stream from being taken for stalled', async t => {
	t.is(await relay(t, {start: comment, piece: comment}), 'complete');
});

test('a stream of many comments without an event is broken off', async t => {
	t.is(await relay(t, {start: comment.repeat(20_000), piece: comment}), 'broken');
});

test('a stream is not taken for stalled while the bytes of a long event come', async t => {
	t.is(await relay(t, {start: 'data: a', piece: 'a'}), 'complete');
	t.is(await relay(t, {start: `data: ${'a'.repeat(100_000)}`, piece: 'a'}), 'complete');
});
