import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type InstanceId} from '@valehitch/core';
import {PeerNetwork, Relay, TunnelAgent} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {testServer} from '../servers/_test-server.js';
import {collectBody} from './collect-body.js';
import {closeIdleConnections, poolOptions, trackIdleTimes} from './connection-pool.js';
import {EventStream} from './event-stream.js';
import {relayStream} from './relay-stream.js';
import {sendAttempt, type ReceivedHead} from './send-attempt.js';
import {listenRaw} from './_test-raw-listen.js';
import {ignore} from './_test-run.js';

/** How a server ends the connection of an answer; `half-closed` leaves the other direction open, and `exited` is a close after which no process listens. */
type Ending = 'closed' | 'closed-later' | 'half-closed' | 'exited' | 'reset' | 'reset-later';

/** An answer, of which a server sends only the beginning. */
type Answer = {
	readonly text: string;
	readonly method?: 'GET' | 'HEAD';
	/** Whether the body ends with the connection. */
	readonly endsWithConnection?: true;
};

/** The way to the server. */
type Path = {readonly isReused: boolean; readonly isRelayed: boolean};

/** What the caller would get. */
type Received = {readonly isWhole: boolean; readonly status: number; readonly body: string};

const endings: readonly Ending[] = ['closed', 'closed-later', 'half-closed', 'exited', 'reset', 'reset-later'];
const paths: readonly Path[] = [false, true].flatMap(isRelayed => [false, true].map(isReused => ({isReused, isRelayed})));
const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n'];
const body = events.join('');
const chunks = events.map(event => `${event.length.toString(16)};a=b\r\n${event}\r\n`).join('');
const statusLine = 'HTTP/1.1 200 OK\r\n';
const interimAnswers = 'HTTP/1.1 102 A\r\n\r\nHTTP/1.1 103 B\r\nContent-Length: 3\r\n\r\n';
const answers: Readonly<Record<string, Answer>> = {
	'a length': {text: `${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`},
	'a length after interim answers': {text: `${interimAnswers}${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`},
	'a length of 0': {text: `${statusLine}Content-Length: 0\r\n\r\n`},
	chunks: {text: `${statusLine}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`},
	'chunks and trailers': {text: `${statusLine}Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n${chunks}0\r\nSum: 1\r\nRest: 2\r\n\r\n`},
	'chunks after an interim answer': {text: `HTTP/1.1 100 Continue\r\n\r\n${statusLine}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`},
	'the end of the connection': {text: `${statusLine}Connection: close\r\n\r\n${body}`, endsWithConnection: true},
	'the end of the connection, in HTTP/1.0': {text: `HTTP/1.0 200 OK\r\n\r\n${body}`, endsWithConnection: true},
	'the method HEAD': {text: `${statusLine}Content-Length: ${body.length}\r\n\r\n`, method: 'HEAD'},
	'the status 204': {text: 'HTTP/1.1 204 No Content\r\nSum: 1\r\n\r\n'},
	'the status 304': {text: `HTTP/1.1 304 Not Modified\r\nContent-Length: ${body.length}\r\n\r\n`},
};
const wholeAnswer = `${statusLine}Content-Length: 2\r\n\r\nok`;
const laterMilliseconds = 3;
/** The number of paths and endings with which each cut is tried; the next cut takes the next ones. */
const waysPerCut = 1;

/** Starts an instance that opens tunnels for others. */
async function startRelay(t: ExecutionContext): Promise<Relay> {
	const instance = '10.0.0.9' as InstanceId;
	const network = await PeerNetwork.listen<string>({
		self: instance, key: 'k', host: '127.0.0.1', port: 0, onMessage: ignore, onRequest: async () => undefined, onHandlerError: ignore, isTunnelAllowed: () => true,
	});
	t.teardown(async () => network.close());
	const address = {instance, host: '127.0.0.1', port: network.port};
	return new Relay(instance, {
		open: async target => network.openTunnel(address, target), createPool: open => trackIdleTimes(new TunnelAgent(open, poolOptions)),
	});
}

function endConnection(socket: Socket, ending: Ending): void {
	switch (ending) {
		case 'closed':
		case 'exited': {
			socket.end();
			socket.destroySoon();
			break;
		}

		case 'half-closed': {
			socket.end();
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'closed-later':
		case 'reset-later': {
			setTimeout(endConnection, laterMilliseconds, socket, ending === 'closed-later' ? 'closed' : 'reset');
			break;
		}
	}
}

async function readPlain({message, isComplete}: ReceivedHead): Promise<Received> {
	const bytes = await collectBody(message, isComplete);
	return {isWhole: bytes !== undefined, status: message.statusCode ?? 0, body: String(bytes ?? '')};
}

async function readStream(head: ReceivedHead): Promise<Received> {
	let forwarded = '';
	const response = new PassThrough();
	response.on('data', chunk => {
		forwarded += String(chunk);
	});
	const end = await relayStream({
		...head, response: response as unknown as ServerResponse, events: new EventStream(), stallTimeout: 0, isStalled: () => false, onData: ignore, onFirstEvent: ignore,
	});
	return {isWhole: end === 'complete', status: head.message.statusCode ?? 0, body: forwarded};
}

const readers = {'a plain answer': readPlain, 'a stream': readStream};

type Cut = {readonly length: number; readonly ending: Ending};

/** A server that sends the beginning of an answer, and the way to it. */
type Sender = {
	/** Receives the beginning of the answer, after which the server ends the connection; undefined if there was no head. */
	readonly receive: (cut: Cut, read: (head: ReceivedHead) => Promise<Received>) => Promise<Received | undefined>;
	/** The number of connections on which the server got a request. */
	readonly connectionCount: () => number;
};

async function startSender(t: ExecutionContext, {text, method = 'GET'}: Answer, {isReused, isRelayed}: Path): Promise<Sender> {
	let connections = 0;
	const port = await listenRaw(t, socket => {
		connections++;
		socket.on('data', data => {
			const [, length, ending] = /\/cut\/(\d+)\/(\S+)/v.exec(String(data)) ?? [];
			if (length === undefined) {
				socket.write(wholeAnswer);
			} else {
				socket.removeAllListeners('data').resume();
				socket.write(text.slice(0, Number(length)), () => {
					endConnection(socket, ending as Ending);
				});
			}
		});
	});
	const server = testServer({port});
	const relay = isRelayed ? await startRelay(t) : undefined;
	const send = async (target: string, ending?: Ending) => sendAttempt({
		server,
		method: target === '/' ? 'GET' : method,
		target,
		headers: [['Host', 'desk.example']],
		body: new Uint8Array(),
		mayReuseConnection: isReused,
		relay,
		connectTimeout: 1000,
		watch: undefined,
		onConnect: ignore,
		processEnd: new AbortController().signal,
		isServerRunning: async () => ending !== 'exited',
		clock: {now: () => new Date(), monotonic: () => performance.now()},
	}).outcome;
	return {
		connectionCount: () => connections,
		async receive({length, ending}, read) {
			closeIdleConnections(server, relay?.pool);
			if (isReused) {
				const first = await send('/');
				t.is(first.type === 'head' ? String(await collectBody(first.message, first.isComplete)) : first.type, 'ok');
				await nextTurn();
			}

			const outcome = await send(`/cut/${length}/${ending}`, ending);
			if (outcome.type === 'head') {
				return read(outcome);
			}

			t.is(outcome.type, isReused ? 'kept-connection-lost' : 'lost');
			return undefined;
		},
	};
}

function startOfBody({text}: Answer): number {
	const start = text.search(/(?:^|\r\n\r\n)HTTP\/1\.\d [2-5]/v);
	const separator = /\r?\n\r?\n/v.exec(text.slice(Math.max(start, 0) + 4))!;
	return Math.max(start, 0) + 4 + separator.index + separator[0].length;
}

type Result = {
	readonly cut: Cut;
	readonly bodyStart: number;
	readonly received: Received | undefined;
	readonly isStream: boolean;
};

/** Checks what the caller gets of a cut answer; returns what is wrong with it. */
function findFault({text, endsWithConnection}: Answer, {cut: {length, ending}, bodyStart, received, isStream}: Result): string | undefined {
	if (length < bodyStart) {
		return received === undefined ? undefined : 'has a head';
	}

	const isClosed = ending !== 'exited' && !ending.startsWith('reset');
	const mayBeWhole = endsWithConnection ? isClosed : length === text.length;
	if (received?.isWhole !== true) {
		// A reset may overtake the last bytes of an answer that was sent whole, and a stream is not whole inside an event.
		return mayBeWhole && isClosed && (length === text.length || !isStream) ? 'does not look whole' : undefined;
	}

	if (!mayBeWhole) {
		return 'looks whole';
	}

	return received.body === (endsWithConnection ? text.slice(bodyStart, length) : bodyOf(text, bodyStart)) ? undefined : 'has another body';
}

function bodyOf(text: string, bodyStart: number): string {
	return bodyStart === text.length ? '' : body;
}

for (const [framing, answer] of Object.entries(answers)) {
	for (const [name, read] of Object.entries(readers)) {
		test(`${name} framed by ${framing} that is cut at any byte is complete only if it is whole`, async t => {
			const bodyStart = startOfBody(answer);
			const senders = await Promise.all(paths.map(async path => startSender(t, answer, path)));
			const ways = endings.flatMap(ending => senders.map((sender, index) => ({ending, sender, path: paths[index]!})));
			const faults: string[] = [];
			const cuts = answer.text.length + 1;
			for (let index = 0; index < cuts * waysPerCut; index++) {
				const {ending, sender, path} = ways[index % ways.length]!;
				const cut = {length: Math.floor(index / waysPerCut), ending};
				const received = await sender.receive(cut, read);
				const fault = findFault(answer, {
					cut, bodyStart, received, isStream: read === readStream,
				});
				if (fault !== undefined) {
					faults.push(`${ending} after ${cut.length} bytes on ${JSON.stringify(path)} ${fault}: ${JSON.stringify(received)}`);
				}
			}

			t.deepEqual(faults, []);
			t.is(senders.reduce((sum, {connectionCount}) => sum + connectionCount(), 0), cuts * waysPerCut);
		});
	}
}
