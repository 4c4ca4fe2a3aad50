import {type ServerId, toId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type Route, type RouteId} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {RawCaller, type RawCallerAnswer} from './_test-raw-caller.js';
import {listenRaw} from './_test-raw-listen.js';
import {testRequest} from './_test-request.js';
import {listen, plainDialect} from './_test-run.js';

const event = 'id: 1\ndata: a\n\n';
const framing = `Content-Length: ${event.length}\r\n`;
const signature = 'Signature: broken\r\n';
const heads: Readonly<Record<string, string>> = {
	'the status 000': `HTTP/1.1 000 OK\r\n${signature}${framing}`,
	'the status 099': `HTTP/1.1 099 OK\r\n${signature}${framing}`,
	'the status 101': `HTTP/1.1 101 Switching Protocols\r\n${signature}`,
	'the status 101 and an upgrade': `HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n${signature}`,
	'the status 600': `HTTP/1.1 600 OK\r\n${signature}${framing}`,
	'the status 999': `HTTP/1.1 999 OK\r\n${signature}${framing}`,
	'a status of four digits': `HTTP/1.1 2000 OK\r\n${signature}${framing}`,
	'another protocol': `RTSP/1.0 200 OK\r\n${signature}${framing}`,
	'another version': `HTTP/2.0 200 OK\r\n${signature}${framing}`,
	'a control byte in the reason phrase': `HTTP/1.1 200 O\u0001K\r\n${signature}${framing}`,
	'a blank in the name of a field': `HTTP/1.1 200 OK\r\n${signature}X Y: 1\r\n${framing}`,
	'a blank behind the name that frames the body': `HTTP/1.1 200 OK\r\n${signature}Content-Length : 2\r\n`,
	'a control byte in the name of a field': `HTTP/1.1 200 OK\r\n${signature}X\u0001Y: 1\r\n${framing}`,
	'a control byte in the value of a field': `HTTP/1.1 200 OK\r\n${signature}X: a\u0000b\r\n${framing}`,
	'a field without a colon': `HTTP/1.1 200 OK\r\n${signature}X\r\n${framing}`,
	'bytes that are no head': '\u0000\u0001\u0002\u00FF\r\n',
};
const kinds = ['safe', 'unsafe', 'streaming'] as const;
const answerMilliseconds = 10_000;

/** Starts a server that answers with the given bytes. */
async function startBrokenServer(t: ExecutionContext, head: string): Promise<number> {
	return listenRaw(t, socket => {
		socket.on('data', () => {
			socket.write(`${head}\r\n${head.includes(' 101 ') ? '' : event}`, 'latin1');
		});
	});
}

async function startSoundServer(t: ExecutionContext): Promise<number> {
	return listen(t, (_message, response) => {
		response.writeHead(200, {'Content-Type': 'text/event-stream', 'Content-Length': event.length, Signature: 'sound'});
		response.end(event);
	});
}

function createRoute(kind: Route['kind']): Route {
	return testRoute({
		id: toId<RouteId>(kind), pathPrefix: `/${kind}/`, kind, timeout: answerMilliseconds, targetLatency: 1000, maximumAttempts: 3, isPublic: true, isResumable: true,
	});
}

/** Sends a request of each kind through a fresh instance. */
async function sendThrough(t: ExecutionContext, ports: readonly number[]): Promise<ReadonlyMap<Route['kind'], RawCallerAnswer>> {
	const {port} = await startTestEntry(t, {
		records: ports.map((server, index) => testServer({id: toId<ServerId>(`server-${index}`), port: server})),
		routes: kinds.map(kind => createRoute(kind)),
		dialect: {
			...plainDialect,
			readRequest: ({url = '/', method = 'GET'}) => testRequest({
				method, path: url, target: url, host: 'desk.example', timeout: answerMilliseconds,
			}),
		},
	});
	const answers = new Map<Route['kind'], RawCallerAnswer>();
	for (const kind of kinds) {
		const caller = new RawCaller(port);
		await caller.connected();
		await caller.send([{
			id: 'a1', method: kind === 'unsafe' ? 'POST' : 'GET', target: `/${kind}/x`, ...(kind === 'unsafe' && {body: 'x'}),
		}]);
		const [answer] = await caller.answers(answerMilliseconds);
		answers.set(kind, answer!);
		caller.close();
	}

	return answers;
}

for (const [name, head] of Object.entries(heads)) {
	test(`an answer with ${name} is no answer to a caller, and ends no process`, async t => {
		const broken = await startBrokenServer(t, head);
		for (const [kind, {status, isWhole}] of await sendThrough(t, [broken])) {
			t.deepEqual({kind, status, isWhole}, {kind, status: 502, isWhole: true});
		}

		const answers = await sendThrough(t, [broken, await startSoundServer(t)]);
		for (const kind of ['safe', 'streaming'] as const) {
			t.like(answers.get(kind), {status: 200, text: event, isWhole: true});
		}

		t.true([200, 502].includes(answers.get('unsafe')?.status ?? 0));
	});
}
