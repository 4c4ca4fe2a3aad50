import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {testServer} from '../servers/_test-server.js';
import {ignore} from './_test-run.js';
import {EventStream} from './event-stream.js';
import {relayStream, type RelayEnd} from './relay-stream.js';
import {sendAttempt} from './send-attempt.js';

type Framing = 'length' | 'chunks' | 'close';

/** How a server ends the connection of an answer; `exited` is a close after which its process is gone. */
type Ending = 'closed' | 'exited' | 'reset' | 'reset-later';

type Received = {
	/** How the relay ended; `no-head` if the head of the answer was incomplete. */
	readonly end: RelayEnd | 'no-head';
	readonly forwarded: string;
};

const endings: readonly Ending[] = ['closed', 'exited', 'reset', 'reset-later'];
const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', ': ping\nid: 3\ndata: c\n\n'];
const body = events.join('');
const wholeEvents = new Set(events.map((_event, index) => events.slice(0, index + 1).join('')));
const contentType = 'Content-Type: text/event-stream\r\n';
const answers: Readonly<Record<Framing, string>> = {
	length: `HTTP/1.1 200 OK\r\n${contentType}Content-Length: ${body.length}\r\n\r\n${body}`,
	chunks: `HTTP/1.1 200 OK\r\n${contentType}Transfer-Encoding: chunked\r\n\r\n${events.map(event => `${event.length.toString(16)}\r\n${event}\r\n`).join('')}0\r\n\r\n`,
	close: `HTTP/1.1 200 OK\r\n${contentType}Connection: close\r\n\r\n${body}`,
};

function endConnection(socket: Socket, ending: Ending): void {
	if (ending === 'reset') {
		socket.resetAndDestroy();
	} else if (ending === 'reset-later') {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 5);
	} else {
		socket.end();
	}
}

/** Relays the beginning of an answer, after which its server ends the connection. */
async function relay(t: ExecutionContext, {text, ending}: {readonly text: string; readonly ending: Ending}): Promise<Received> {
	const server = createServer(socket => {
		socket.on('error', ignore);
		socket.once('data', () => {
			socket.write(text, () => {
				endConnection(socket, ending);
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const outcome = await sendAttempt({
		server: testServer({port: (server.address() as AddressInfo).port}),
		method: 'GET',
		target: '/',
		headers: [['Host', 'desk.example']],
		body: new Uint8Array(),
		mayReuseConnection: false,
		connectTimeout: 1000,
		watch: undefined,
		onConnect: ignore,
		processEnd: new AbortController().signal,
		isServerRunning: async () => ending !== 'exited',
		clock: {now: () => new Date(), monotonic: () => performance.now()},
	}).outcome;
	if (outcome.type !== 'head') {
		return {end: 'no-head', forwarded: ''};
	}

	let forwarded = '';
	const response = new PassThrough();
	response.on('data', chunk => {
		forwarded += String(chunk);
	});
	const end = await relayStream({
		...outcome, response: response as unknown as ServerResponse, events: new EventStream(), stallTimeout: 0, isStalled: () => false, onData: ignore, onFirstEvent: ignore,
	});
	return {end, forwarded};
}

/** Whether a cut answer has all that its framing asks for, and stands between two events. */
function isWhole({framing, length, ending}: {readonly framing: Framing; readonly length: number; readonly ending: Ending}): boolean {
	const text = answers[framing];
	if (framing !== 'close') {
		return length === text.length;
	}

	const received = text.slice(text.indexOf('\r\n\r\n') + 4, length);
	return ending === 'closed' && (received === '' || wholeEvents.has(received) || received.endsWith(': ping\n'));
}

for (const framing of Object.keys(answers) as readonly Framing[]) {
	for (const ending of endings) {
		test(`a stream framed by ${framing} that is cut at any byte and then ${ending} is complete only if it is whole`, async t => {
			const text = answers[framing];
			for (let length = 1; length <= text.length; length++) {
				const {end, forwarded} = await relay(t, {text: text.slice(0, length), ending});
				const cut = `cut after ${length} bytes`;
				const isExpected = length >= text.indexOf('\r\n\r\n') + 4 && isWhole({framing, length, ending});
				// A reset may overtake the last bytes of an answer that was sent whole.
				const mayBeBroken = !isExpected || ending.startsWith('reset');
				t.true(end === 'complete' ? isExpected : mayBeBroken, cut);
				t.true(forwarded === '' || wholeEvents.has(forwarded) || (end === 'complete' && body.startsWith(forwarded)), cut);
			}
		});
	}
}
