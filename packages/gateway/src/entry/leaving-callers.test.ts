import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {testRequest} from './_test-request.js';
import {listen} from './_test-run.js';

const request = 'GET /labels/7 HTTP/1.1\r\nHost: desk.example\r\n\r\n';
const callerCount = 5;
const settleMilliseconds = 5000;
/** Longer than a starved machine holds up a test, so that no request ends at its time limit, and none is sent twice for being late. */
const patient = {isPublic: true, timeout: 30_000, targetLatency: 30_000} as const;

async function connectCaller(t: ExecutionContext, port: number): Promise<Socket> {
	const caller = connect(port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
	});
	caller.on('error', () => undefined);
	await once(caller, 'connect');
	return caller;
}

/** Waits until a number of requests have ended because their callers left. */
async function leftCallers(metrics: GatewayMetrics, count: number): Promise<void> {
	let left = 0;
	while (left < count) {
		await delay(10);
		const {values} = await metrics.requests.get();
		left = values.find(({labels}) => labels.outcome === 'caller-left')?.value ?? 0;
	}
}

async function reached(expected: number, count: () => number): Promise<void> {
	while (count() < expected) {
		await delay(10);
	}
}

/** Waits for a number of log lines, for a bounded time, and for any that would follow. */
async function settled(lines: readonly unknown[], count: number): Promise<void> {
	const until = performance.now() + settleMilliseconds;
	while (lines.length < count && performance.now() < until) {
		await delay(10);
	}

	await delay(100);
}

const departures = [
	['closed', (caller: Socket) => caller.destroy()],
	['reset', (caller: Socket) => caller.resetAndDestroy()],
] as const;

// All bytes and the end of each connection have arrived when the instance reads its sockets, as after a suspension.
for (const [name, leave] of departures) {
	test(`requests that are read after their callers have ${name} their connections are not sent on`, async t => {
		let arrived = 0;
		const serverPort = await listen(t, (_message, response) => {
			arrived++;
			response.end('printed');
		});
		const {port, metrics} = await startTestEntry(t, {
			records: [testServer({port: serverPort})], routes: [testRoute(patient)],
		});
		// Opens a connection to the server that the next request can reuse.
		const first = await fetch(`http://127.0.0.1:${port}/labels/7`);
		t.is(first.status, 200);
		const callers = await Promise.all(Array.from({length: callerCount}, async () => connectCaller(t, port)));
		await delay(100);
		for (const caller of callers) {
			caller.write(request);
			leave(caller);
		}

		await leftCallers(metrics, callerCount);
		const last = await fetch(`http://127.0.0.1:${port}/labels/7`);
		t.is(last.status, 200);
		t.is(arrived, 2);
	});
}

test('a request is not sent again when its caller has left by the time that the first server refuses it', async t => {
	const callers: Socket[] = [];
	let arrived = 0;
	const handle = (_message: IncomingMessage, response: ServerResponse): void => {
		arrived++;
		response.writeHead(arrived === 2 ? 200 : 429).end();
		// The refusal and the end of the caller's connection are read in the same turn.
		callers.pop()?.destroy();
	};

	const ports = await Promise.all([listen(t, handle), listen(t, handle)]);
	const {port, metrics} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({id: `server-${index + 1}` as ServerId, port: serverPort})),
		routes: [testRoute({...patient, maximumAttempts: 3})],
	});
	// Opens connections to both servers that the next request can reuse.
	const {status} = await fetch(`http://127.0.0.1:${port}/labels/7`);
	t.deepEqual([status, arrived], [200, 2]);
	const caller = await connectCaller(t, port);
	callers.push(caller);
	caller.write(request);
	await leftCallers(metrics, 1);
	await delay(100);
	t.is(arrived, 3);
});

test('requests that wait behind another one on their connection are not sent when their caller leaves', async t => {
	let arrived = 0;
	let cancelled = 0;
	const serverPort = await listen(t, (message, _response) => {
		arrived++;
		message.on('close', () => {
			cancelled++;
		});
	});
	const {port, metrics} = await startTestEntry(t, {
		records: [testServer({port: serverPort})], routes: [testRoute({isPublic: true, timeout: 30_000})],
	});
	const caller = await connectCaller(t, port);
	caller.write(request.repeat(3));
	await reached(1, () => arrived);
	caller.destroy();
	await leftCallers(metrics, 1);
	await reached(1, () => cancelled);
	const {values: [unhandled]} = await metrics.unhandledRequests.get();
	t.is(unhandled?.value, 2);
	t.is(arrived, 1);
});

test('a stalled stream and the send that would continue it are both closed when their caller leaves', async t => {
	let arrived = 0;
	let closed = 0;
	const handle = (message: IncomingMessage, response: ServerResponse): void => {
		arrived++;
		message.socket.on('close', () => {
			closed++;
		});
		// The first one pauses after an event, and the second one sends nothing.
		if (arrived === 1) {
			response.writeHead(200, {'Content-Type': 'text/event-stream'});
			response.write('id: 1\ndata: printed\n\n');
		}
	};

	const ports = await Promise.all([listen(t, handle), listen(t, handle)]);
	const {port, metrics} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({id: `server-${index + 1}` as ServerId, port: serverPort})),
		routes: [testRoute({
			isPublic: true, kind: 'streaming', isResumable: true, timeout: 30_000, targetLatency: 30_000, targetGap: 50, maximumAttempts: 3,
		})],
	});
	const caller = await connectCaller(t, port);
	caller.write(request);
	await reached(2, () => arrived);
	t.is(closed, 0);
	caller.destroy();
	await leftCallers(metrics, 1);
	await reached(2, () => closed);
	t.is(arrived, 2);
});

for (const [name, leave] of departures) {
	for (const [body, head] of [['of a known length', 'Content-Length: 100\r\n\r\nfirst half'], ['in chunks', 'Transfer-Encoding: chunked\r\n\r\na\r\nfirst half\r\n']] as const) {
		test(`a request whose caller has ${name} its connection while a body ${body} arrives gets an end line`, async t => {
			const ended: unknown[] = [];
			let hasArrived = false;
			const {port, metrics} = await startTestEntry(t, {
				records: [testServer()],
				routes: [testRoute(patient)],
				dialect: {
					readRequest() {
						hasArrived = true;
						return testRequest();
					},
				},
				log(kind, {request: id, outcome, route, sends}) {
					if (kind === 'request-ended' || id !== undefined) {
						ended.push({
							kind, id, outcome, route, sends,
						});
					}
				},
			});
			const caller = await connectCaller(t, port);
			caller.write(`POST /labels/7 HTTP/1.1\r\nHost: desk.example\r\n${head}`);
			await reached(1, () => Number(hasArrived));
			await delay(50);
			leave(caller);
			await settled(ended, 1);
			t.deepEqual(ended, [{
				kind: 'request-ended', id: 'a1', outcome: 'caller-left', route: 'labels', sends: 0,
			}]);
			const {values} = await metrics.requests.get();
			t.deepEqual(values.map(({value, labels: {outcome}}) => [outcome, value]), [['caller-left', 1]]);
		});
	}
}

test('a request whose body has malformed bytes is told from one whose caller leaves by the refusal before its end line', async t => {
	const lines: string[] = [];
	const {port} = await startTestEntry(t, {
		records: [testServer()],
		routes: [testRoute(patient)],
		log(kind, {error, outcome, reason}) {
			if (kind === 'request-refused' || kind === 'request-ended') {
				lines.push(`${kind} ${String(error ?? outcome)} ${String(reason)}`);
			}
		},
	});
	const caller = await connectCaller(t, port);
	caller.write('POST /labels/7 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n');
	await settled(lines, 2);
	t.deepEqual(lines, [
		'request-refused malformed-request Parse Error: Invalid character in chunk size',
		'request-ended caller-left The connection was closed before the request was sent',
	]);
});
