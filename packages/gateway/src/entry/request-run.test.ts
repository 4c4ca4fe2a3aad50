import {once} from 'node:events';
import {
	createServer, type IncomingMessage, request as openRequest, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	errorAnswers, type InstanceId, type ModelId, type ServerId, type ZoneId,
} from '@valehitch/core';
import {RetryWindow} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {testRequest} from './_test-request.js';
import {authorizeRequest} from './authorize-request.js';
import {ConfigurationLease} from './configuration-lease.js';
import {type Dialect} from './dialect.js';
import {type EntryContext} from './entry-context.js';
import {EntryServers} from './entry-servers.js';
import {EntrySuspects} from './entry-suspects.js';
import {EvidenceCounter} from './evidence-counter.js';
import {LatencyBook} from './latency-book.js';
import {RequestRun} from './request-run.js';
import {RepeatBook} from './repeat-book.js';
import {VersionPins} from './version-pins.js';

const control = '10.0.0.1' as InstanceId;

/** Requests and answers as plain as they can be: each answer is the server's own. */
const plainDialect: Dialect = {
	readRequest: () => testRequest(),
	sendHeaders: (_request, {model}) => [['Host', 'desk.example'], ['Model', model ?? 'none']],
	readAnswer: (status, headers) => ({
		status,
		requestId: testRequest().id,
		isNotRun: status === 429,
		isOtherServer: false,
		isSigned: true,
		isEncoded: false,
		confidence: typeof headers.confidence === 'string' ? Number(headers.confidence) : undefined,
	}),
	answerHeaders: ({headers: {signature}}) => typeof signature === 'string' ? [['Signature', signature]] : [],
	refuse: (_request, {kind}) => ({status: errorAnswers[kind].status, headers: [], body: kind}),
};

async function listen(t: ExecutionContext, handle: Parameters<typeof createServer>[1]): Promise<number> {
	const server = createServer(handle);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

async function get(port: number): Promise<{readonly status: number; readonly text: string; readonly signature?: string}> {
	const outgoing = openRequest({host: '127.0.0.1', port, agent: false}).end();
	const [message] = await once(outgoing, 'response') as [IncomingMessage];
	let text = '';
	for await (const chunk of message.setEncoding('utf8')) {
		text += String(chunk);
	}

	const {signature} = message.headers;
	return {status: message.statusCode ?? 0, text, ...(typeof signature === 'string' && {signature})};
}

/** A caller's requests, one after the other, through an instance that knows no server until `nextServers` says so. */
async function askTimes(t: ExecutionContext, times: number, {nextServers, route = testRoute(), patience = 60_000, inputTokens = 0, latencies, log = ignore}: AskOptions) {
	const clock = {now: () => new Date(), monotonic: () => performance.now()};
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, share: {othersOn: () => 0, noteChange: ignore, forget: ignore}, onReplaced: ignore,
	});
	const lease = new ConfigurationLease({duration: 60_000});
	lease.confirm(clock.monotonic());
	const table = new RouteTable(testConfiguration({routes: [route]}));
	const context: EntryContext = {
		clock,
		random: () => 0.5,
		log,
		metrics: createGatewayMetrics(),
		dialect: plainDialect,
		bounds: {canaryShare: 0.1, leastConfidence: 50},
		lease,
		servers,
		suspects: new EntrySuspects({
			clock, log, servers, confirmEnd: async () => false, onLearned: ignore,
		}),
		budget: new RetryWindow({share: 1, slack: 5}),
		latencies: latencies ?? new LatencyBook(clock),
		pins: new VersionPins({sessionMilliseconds: 5000}),
		repeats: new RepeatBook(),
		evidence: new EvidenceCounter({entry: control, run: 'one'}),
		table: () => table,
		nextNews: async () => undefined,
		async nextServers() {
			nextServers(servers);
		},
		rolloutOf: () => undefined,
		endsAt: () => undefined,
	};
	const request = testRequest({patience, inputTokens, choosesModel: route.sizes.length > 0});
	const authorized = authorizeRequest(request, {table, lease, now: clock.monotonic()}).unsafeCoerce();
	const entry = await listen(t, (_message, response) => {
		void new RequestRun(context, {
			request, body: new Uint8Array(), response, authorized, arrivedAt: clock.monotonic(),
		}).run();
	});
	const answers: Array<Awaited<ReturnType<typeof get>>> = [];
	while (answers.length < times) {
		answers.push(await get(entry));
	}

	return {answers, evidence: context.evidence.of(new Set([route.services[0]!.service]))};
}

type AskOptions = {
	readonly nextServers: (servers: EntryServers) => void;
	readonly route?: ReturnType<typeof testRoute>;
	/** Takes the log lines; nothing unless given. */
	readonly log?: EntryContext['log'];
	/** How long the caller waits, in milliseconds. */
	readonly patience?: number;
	/** The tokens of the prompt. */
	readonly inputTokens?: number;
	/** The times that are known; none unless given. */
	readonly latencies?: LatencyBook;
};

async function askThrough(t: ExecutionContext, nextServers: (servers: EntryServers) => void, route = testRoute()) {
	const {answers} = await askTimes(t, 1, {nextServers, route});
	return answers[0];
}

function ignore(): void {
	// Nothing to note.
}

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
