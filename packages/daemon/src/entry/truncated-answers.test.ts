import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type InstanceId, type RequestId} from '@valehitch/core';
import {PeerNetwork, Relay, sendHttpRequest} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../system-clock.js';
import {type AttemptOutput} from './attempt-output.js';
import {callEngine} from './engine-call.js';
import {type SendRequest} from './request-sender.js';
import {callService} from './service-call.js';

/** How a server ends the connection of an answer; `half-closed` leaves the other direction open, and `exited` is a close after which no process listens. */
type Ending = 'closed' | 'half-closed' | 'exited' | 'reset' | 'reset-later';

/** A call of a backend server, and the body of its whole answer. */
type Call = {
	readonly body: string;
	readonly open: (connection: Connection) => AsyncIterable<AttemptOutput>;
};

type Connection = {
	readonly address: string;
	readonly send: SendRequest;
	readonly isReused: boolean;
};

type Received = {readonly isWhole: boolean; readonly body: string};

const endings: readonly Ending[] = ['closed', 'half-closed', 'exited', 'reset', 'reset-later'];
const laterMilliseconds = 3;
const neverStalled = () => ({type: 'wait', reason: 'on-time'} as const);
const common = {
	requestId: 'r1' as RequestId, attempt: 1, signal: new AbortController().signal, clock: systemClock, stallMilliseconds: 60_000, reviewPause: neverStalled, maximumBytes: 10_000,
};
const event = (content: string): string => `data: {"choices":[{"delta":{"content":"${content}"}}]}\n\n`;
const done = 'data: [DONE]\n\n';
const streamBody = `${event('Tag')}${event('4711')}${done}`;
const completion = '{"choices":[{"message":{"content":"Tag"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}';
const openEngine = (streamed: boolean) => ({address, send, isReused}: Connection) => callEngine({
	...common, versionKey: 'tag-small@1.0', body: {model: 'tag-small', messages: []}, streamed, priority: 5, resumeText: '', tokensBefore: 0, send, address, freshConnection: !isReused,
});
const calls: Readonly<Record<string, Call>> = {
	'the answer of a service': {
		body: 'found', open: ({address, send, isReused}) => callService({
			...common, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), repeatable: true, freshConnection: !isReused, send, address,
		}),
	},
	'the answer of an engine': {body: completion, open: openEngine(false)},
	'the stream of an engine': {body: streamBody, open: openEngine(true)},
};
const statusLine = 'HTTP/1.1 200 OK\r\n';
const framings: Readonly<Record<string, (body: string) => string>> = {
	'a length': body => `${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`,
	'a length after an interim answer': body => `HTTP/1.1 103 A\r\n\r\n${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`,
	'chunks and trailers': body => `${statusLine}Transfer-Encoding: chunked\r\n\r\n3\r\n${body.slice(0, 3)}\r\n${(body.length - 3).toString(16)}\r\n${body.slice(3)}\r\n0\r\nSum: 1\r\n\r\n`,
	'the end of the connection': body => `${statusLine}Connection: close\r\n\r\n${body}`,
};

function ignore(): void {
	// The event is not under test.
}

/** Starts an instance that opens tunnels for others. */
async function startRelay(t: ExecutionContext): Promise<Relay> {
	const instance = 'daemon-2' as InstanceId;
	const network = await PeerNetwork.listen<string>({
		self: instance, key: 'k', host: '127.0.0.1', port: 0, onMessage: ignore, onRequest: async () => undefined, onHandlerError: ignore, isTunnelAllowed: () => true,
	});
	t.teardown(async () => network.close());
	const address = {instance, host: '127.0.0.1', port: network.port};
	return new Relay(instance, {open: async target => network.openTunnel(address, target)});
}

function endConnection(socket: Socket, {ending, server}: {readonly ending: Ending; readonly server: Server}): void {
	switch (ending) {
		case 'exited': {
			server.close();
			socket.end();
			socket.destroySoon();
			break;
		}

		case 'closed': {
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

		case 'reset-later': {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, laterMilliseconds);
			break;
		}
	}
}

async function read(outputs: AsyncIterable<AttemptOutput>): Promise<Received> {
	let body = '';
	let isWhole = false;
	for await (const output of outputs) {
		if (output.type === 'piece') {
			const {payload} = output.piece;
			body += typeof payload === 'string' ? payload : new TextDecoder().decode(payload);
		} else if (output.type === 'complete') {
			isWhole = true;
			body += output.trailer;
		}
	}

	return {isWhole, body};
}

type Cut = {
	readonly call: Call;
	readonly wholeText: string;
	readonly length: number;
	readonly ending: Ending;
	readonly isReused: boolean;
	readonly relay: Relay | undefined;
};

/** Receives the beginning of an answer, after which its server ends the connection. */
async function receive(t: ExecutionContext, {call, wholeText, length, ending, isReused, relay}: Cut): Promise<Received> {
	const sockets = new Set<Socket>();
	let answers = 0;
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', ignore);
		socket.on('data', () => {
			answers++;
			if (isReused && answers === 1) {
				socket.write(framings['a length']!(call.body));
				return;
			}

			socket.removeAllListeners('data').resume();
			socket.write(wholeText.slice(0, length), () => {
				endConnection(socket, {ending, server});
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const open = () => call.open({
		address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, isReused, send: async request => sendHttpRequest({...request, relay}),
	});
	if (isReused) {
		const first = await read(open());
		t.is(first.body, call.body);
		await nextTurn();
	}

	const received = await read(open());
	t.is(answers, isReused ? 2 : 1);
	// The check of a running server and a tunnel open connections without a request.
	server.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	return received;
}

for (const [name, call] of Object.entries(calls)) {
	for (const [framing, frame] of Object.entries(framings)) {
		test.serial(`${name} framed by ${framing} that is cut at any byte is complete only if it is whole`, async t => {
			const relay = await startRelay(t);
			const wholeText = frame(call.body);
			const bodyStart = wholeText.indexOf('\r\n\r\n', wholeText.indexOf(statusLine)) + 4;
			const ways = endings.flatMap(ending => [false, true].flatMap(isReused => [undefined, relay].map(usedRelay => ({ending, isReused, relay: usedRelay}))));
			const endsWithConnection = framing === 'the end of the connection';
			const faults: string[] = [];
			for (let length = 0; length <= wholeText.length; length++) {
				const {ending, isReused, relay: usedRelay} = ways[length % ways.length]!;
				const {isWhole, body} = await receive(t, {
					call, wholeText, length, ending, isReused, relay: usedRelay,
				});
				const way = `${ending} after ${length} bytes, ${JSON.stringify({isReused, isRelayed: usedRelay !== undefined})}`;
				const isClosed = ending === 'closed' || ending === 'half-closed';
				const mayEndHere = endsWithConnection && isClosed && length >= bodyStart;
				if (isWhole && body !== call.body && !(mayEndHere && body === wholeText.slice(bodyStart, length))) {
					faults.push(`${way} looks whole: ${body}`);
				}

				if (!isWhole && length === wholeText.length && isClosed) {
					faults.push(`${way} does not look whole`);
				}
			}

			t.deepEqual(faults, []);
		});
	}
}
