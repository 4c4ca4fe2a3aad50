import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ModelId, type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {
	askThrough, askTimes, control, ignore, listen,
} from './_test-run.js';
import {type EntryServers} from './entry-servers.js';
import {LatencyBook} from './latency-book.js';

test('a request that finds no server waits for the first one', async t => {
	const port = await listen(t, (_message, response) => {
		response.end('printed');
	});
	const answer = await askThrough(t, servers => {
		servers.take([testServer({port})], {source: control, now: performance.now()});
	});
	t.deepEqual(answer, {status: 200, text: 'printed'});
});

test('a request that still finds none after its wait is refused', async t => {
	let asked = 0;
	const answer = await askThrough(t, () => {
		asked++;
	});
	t.deepEqual(answer, {status: 503, text: 'no-server'});
	t.true(asked > 0);
});

test('a stream that has no events left is answered with the head of its server', async t => {
	const port = await listen(t, (_message, response) => {
		response.writeHead(200, {Signature: 'of-the-server'});
		response.end();
	});
	const answer = await askThrough(t, servers => {
		servers.take([testServer({port})], {source: control, now: performance.now()});
	}, testRoute({kind: 'streaming', isResumable: true, timeout: 8000}));
	t.deepEqual(answer, {status: 200, text: '', signature: 'of-the-server'});
});

test('a request whose server starts again goes to its next process at once, and the former one counts against nobody', async t => {
	let known: EntryServers | undefined;
	const requests: string[] = [];
	const port = await listen(t, (message, response) => {
		requests.push(message.url ?? '');
		if (requests.length > 1) {
			response.end('printed');
			return;
		}

		// The former process says nothing more; control hears of the next one, at the same address.
		known?.take([testServer({port, startedAt: 2000})], {source: control, now: performance.now()});
	});
	const answer = await askThrough(t, servers => {
		known = servers;
		servers.take([testServer({port, startedAt: 1000, sequence: 40})], {source: control, now: performance.now()});
	}, testRoute({kind: 'safe', maximumAttempts: 2, timeout: 8000}));
	t.deepEqual(answer, {status: 200, text: 'printed'});
	t.is(requests.length, 2);
	t.true(known?.isCurrent(testServer({port, startedAt: 2000})));
});

test('a kept connection that was dropped is no fault of its server, and the request goes there again', async t => {
	const requests = new Map<unknown, number>();
	const port = await listen(t, (message, response) => {
		const count = (requests.get(message.socket) ?? 0) + 1;
		requests.set(message.socket, count);
		if (count > 1) {
			message.socket.resetAndDestroy();
			return;
		}

		response.end('found');
	});
	const {answers, evidence} = await askTimes(t, 12, {
		route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 2}),
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(new Set(answers.map(({text}) => text)), new Set(['found']));
	t.is(requests.size, 12);
	t.deepEqual(evidence.map(({answers: count, failures}) => [count, failures]), [[12, 0]]);
});

test('a request that may have run is not refused as not run, also where it may be repeated', async t => {
	const port = await listen(t, message => {
		message.socket.destroy();
	});
	const {answers} = await askTimes(t, 1, {
		route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 3}),
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[502, 'outcome-unknown']]);
});

/** A server of two models: the small one is unsure, and the large one does as told. */
async function listenForModels(t: ExecutionContext, answerLarge: (message: IncomingMessage, response: ServerResponse) => void): Promise<number> {
	return listen(t, (message, response) => {
		if (message.headers.model === 'large') {
			answerLarge(message, response);
			return;
		}

		response.writeHead(200, {Confidence: '5'});
		response.end('id: 1\ndata: small\n\n');
	});
}

const modelRoute = testRoute({
	kind: 'streaming', isResumable: true, timeout: 60_000, targetLatency: 2000, maximumAttempts: 3, sizes: ['small', 'large'] as ModelId[],
});

test('the answer of a smaller model is kept until a better one has begun', async t => {
	const port = await listenForModels(t, (_message, response) => {
		response.end('id: 1\ndata: large\n\n');
	});
	const {answers} = await askTimes(t, 1, {
		route: modelRoute,
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({text}) => text), ['id: 1\ndata: large\n\n']);
});

test('the answer of a smaller model is passed on where no server takes the better one', async t => {
	const port = await listenForModels(t, (_message, response) => {
		response.writeHead(429).end();
	});
	const {answers} = await askTimes(t, 1, {
		route: modelRoute,
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});

test('the answer of a smaller model is passed on where the better one does not come in time', async t => {
	const port = await listenForModels(t, () => {
		// It never answers.
	});
	const {answers} = await askTimes(t, 1, {
		route: modelRoute,
		patience: 1000,
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});

/** The requests that reach a server which takes a while for a prompt, where short prompts usually take 100 ms. */
async function sendsOf(t: ExecutionContext, inputTokens: number): Promise<number> {
	let sends = 0;
	const port = await listen(t, (_message, response) => {
		sends++;
		setTimeout(() => {
			response.writeHead(200, {Confidence: '95'});
			response.end('id: 1\ndata: read\n\n');
		}, 1400);
	});
	const latencies = new LatencyBook({monotonic: () => performance.now()});
	latencies.note(`${modelRoute.id} small`, {milliseconds: 100, tokens: 1000});
	const {answers} = await askTimes(t, 1, {
		route: modelRoute,
		inputTokens,
		latencies,
		nextServers(known) {
			known.take(['server-1', 'server-2', 'server-3'].map(id => testServer({id: id as ServerId, port})), {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({text}) => text), ['id: 1\ndata: read\n\n']);
	return sends;
}

test('a long prompt is read by one server to its end, and a short one that waits there is sent elsewhere', async t => {
	t.is(await sendsOf(t, 50_000), 1);
	t.true(await sendsOf(t, 1000) > 1);
});

test('a kept answer whose connection ends before it is needed is no answer, and the caller is told so', async t => {
	const port = await listen(t, (message, response) => {
		if (message.headers.model === 'large') {
			setTimeout(() => {
				response.writeHead(429).end();
			}, 100);
			return;
		}

		response.writeHead(200, {Confidence: '5'});
		response.write('id: 1\ndata: sm');
		setTimeout(() => {
			message.socket.resetAndDestroy();
		}, 20);
	});
	const {answers} = await askTimes(t, 1, {
		route: {...modelRoute, isResumable: false},
		patience: 5000,
		nextServers(known) {
			known.take([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[502, 'outcome-unknown']]);
});

test('the last line of a request that a server got and did not answer in time says that it may have run, as the answer does', async t => {
	const port = await listen(t, ignore);
	const lines: Array<readonly [string, Readonly<Record<string, unknown>>]> = [];
	const {answers} = await askTimes(t, 1, {
		route: testRoute({kind: 'unsafe'}),
		patience: 300,
		nextServers(servers) {
			servers.take([testServer({port})], {source: control, now: 0});
		},
		log(kind, fields) {
			lines.push([kind, fields]);
		},
	});
	t.is(answers[0]?.text, 'deadline-exceeded-after-dispatch');
	t.like(lines.find(([kind]) => kind === 'request-ended')?.[1], {error: 'deadline-exceeded-after-dispatch', mayHaveRun: true});
});

const pauseMilliseconds = 400;
const pausingRoute = {
	kind: 'streaming', isResumable: true, timeout: 8000, targetLatency: 100, targetGap: 100,
} as const;

/** Answers with two events and a pause between them that is longer than a stall. */
function answerWithPause(_message: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200);
	response.write('id: 1\ndata: one\n\n');
	setTimeout(() => {
		response.end('id: 2\ndata: two\n\n');
	}, pauseMilliseconds);
}

const bothEvents = {status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'};

test('a stream that stalls at the only server is kept and goes on there', async t => {
	const port = await listen(t, answerWithPause);
	const answer = await askThrough(t, servers => {
		servers.take([testServer({port})], {source: control, now: performance.now()});
	}, testRoute({...pausingRoute, maximumAttempts: 3}));
	t.deepEqual(answer, bothEvents);
});

test('a stream that stalls with its last send is kept and goes on there', async t => {
	const ports = await Promise.all([listen(t, answerWithPause), listen(t, answerWithPause)]);
	const answer = await askThrough(t, servers => {
		servers.take(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
	}, testRoute({...pausingRoute, maximumAttempts: 1}));
	t.deepEqual(answer, bothEvents);
});
