import {once} from 'node:events';
import {type IncomingMessage, request as openRequest, type ServerResponse} from 'node:http';
import {failure, type ModelId, type ServerId} from '@valehitch/core';
import {type PoolPicture} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {
	control, ignore, listen, sendRequest, sendRequests,
} from './_test-run.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';
import {LatencyEstimator} from './latency-estimator.js';
import {type AdmissionCandidate} from './request-admission.js';

test('a request waits for the first server if there is none', async t => {
	const port = await listen(t, (_message, response) => {
		response.end('printed');
	});
	// The process is busy with the start of all tests, so that its server may answer late.
	const route = testRoute({targetLatency: 4000, timeout: 8000});
	const answer = await sendRequest(t, servers => {
		servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
	}, route);
	t.deepEqual(answer, {status: 200, text: 'printed'});
});

test('a request is refused if there is still no server after the wait', async t => {
	let asked = 0;
	const answer = await sendRequest(t, () => {
		asked++;
	});
	t.deepEqual(answer, {status: 503, text: 'no-server'});
	t.true(asked > 0);
});

test('a stream without further events is answered with the head of the server', async t => {
	const port = await listen(t, (_message, response) => {
		response.writeHead(200, {Signature: 'of-the-server'});
		response.end();
	});
	const answer = await sendRequest(t, servers => {
		servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
	}, testRoute({kind: 'streaming', isResumable: true, timeout: 8000}));
	t.deepEqual(answer, {status: 200, text: '', signature: 'of-the-server'});
});

test('a request whose server restarts is sent to the new process immediately, which is not blamed for the old one', async t => {
	let known: EntryServers | undefined;
	const requests: string[] = [];
	const port = await listen(t, (message, response) => {
		requests.push(message.url ?? '');
		if (requests.length > 1) {
			response.end('printed');
			return;
		}

		// The old process sends no more data. The control instance reports the new one at the same address.
		known?.applyRecords([testServer({port, startedAt: 2000})], {source: control, now: performance.now()});
	});
	const answer = await sendRequest(t, servers => {
		known = servers;
		servers.applyRecords([testServer({port, startedAt: 1000, sequence: 40})], {source: control, now: performance.now()});
	}, testRoute({kind: 'safe', maximumAttempts: 2, timeout: 8000}));
	t.deepEqual(answer, {status: 200, text: 'printed'});
	t.is(requests.length, 2);
	t.true(known?.isCurrent(testServer({port, startedAt: 2000})));
});

test('a closed keep-alive connection is not a fault of the server, and the request is sent there again', async t => {
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
	const {answers, evidence} = await sendRequests(t, 12, {
		route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 2}),
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(new Set(answers.map(({text}) => text)), new Set(['found']));
	t.is(requests.size, 12);
	t.deepEqual(evidence.map(({answers: count, failures}) => [count, failures]), [[12, 0]]);
});

const foundEvent = 'data: found\n\n';

/** Starts a server that answers the first request on each connection, and drops the connection on the next one. */
async function listenDroppingKept(t: ExecutionContext, drop: (message: IncomingMessage) => void): Promise<number> {
	const used = new Set<unknown>();
	return listen(t, (message, response) => {
		if (used.has(message.socket)) {
			drop(message);
			return;
		}

		used.add(message.socket);
		response.end(foundEvent);
	});
}

for (const [name, drop] of [
	['closed', (message: IncomingMessage) => {
		message.socket.destroy();
	}],
	['reset', (message: IncomingMessage) => {
		message.socket.resetAndDestroy();
	}],
] as const) {
	test(`a request that loses a kept connection that is ${name} takes one retry, though all servers drop theirs`, async t => {
		const ports = [await listenDroppingKept(t, drop), await listenDroppingKept(t, drop), await listenDroppingKept(t, drop)];
		const sends: unknown[] = [];
		let drawn = 0;
		const {answers} = await sendRequests(t, 12, {
			route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 3}),
			log(kind, fields) {
				if (kind === 'request-ended') {
					sends.push(fields.sends);
				}
			},
			random: () => (drawn++ % 7) / 7,
			nextServers(known) {
				known.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
			},
		});
		t.deepEqual(answers.map(({text}) => text), answers.map(() => foundEvent));
		t.deepEqual(new Set(sends), new Set([1, 2]));
	});

	test(`a request that cannot be sent again succeeds where kept connections are ${name}`, async t => {
		const port = await listenDroppingKept(t, drop);
		const {answers} = await sendRequests(t, 4, {
			route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 1}),
			nextServers(known) {
				known.applyRecords([testServer({port})], {source: control, now: performance.now()});
			},
		});
		t.deepEqual(answers.map(({text}) => text), answers.map(() => foundEvent));
	});
}

test('a request on a kept connection that falls silent is answered over a new one, though all kept ones are silent', async t => {
	const silent = async (): Promise<number> => listenDroppingKept(t, () => {
		// Neither answers nor closes.
	});
	const ports = [await silent(), await silent(), await silent()];
	let drawn = 0;
	const {answers} = await sendRequests(t, 8, {
		route: testRoute({
			kind: 'streaming', isResumable: true, timeout: 8000, targetLatency: 200, maximumAttempts: 3,
		}),
		random: () => (drawn++ % 7) / 7,
		nextServers(known) {
			known.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({text}) => text), answers.map(() => foundEvent));
});

test('a request that may have run is not refused as not run, even if it may be repeated', async t => {
	const port = await listen(t, message => {
		message.socket.destroy();
	});
	const {answers} = await sendRequests(t, 1, {
		route: testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 3}),
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[502, 'outcome-unknown']]);
});

/** Starts a server with two models: the small one has low confidence, and the large one answers with `answerLarge`. */
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

test('the answer of a smaller model is discarded once a better one has started', async t => {
	const port = await listenForModels(t, (_message, response) => {
		response.end('id: 1\ndata: large\n\n');
	});
	const {answers} = await sendRequests(t, 1, {
		route: modelRoute,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({text}) => text), ['id: 1\ndata: large\n\n']);
});

test('the answer of a smaller model is forwarded if no server runs the larger model', async t => {
	const port = await listenForModels(t, (_message, response) => {
		response.writeHead(429).end();
	});
	const {answers} = await sendRequests(t, 1, {
		route: modelRoute,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});

function sendHead(_message: IncomingMessage, response: ServerResponse): void {
	response.flushHeaders();
}

for (const [name, answerLarge, targetGap, serverCount] of [
	['does not arrive in time', ignore, undefined, 1],
	['has no event in time', sendHead, undefined, 1],
	['has no event in time, and none of another server', sendHead, 100, 2],
] as const) {
	test(`the answer of a smaller model is forwarded if the better one ${name}`, async t => {
		const port = await listenForModels(t, answerLarge);
		const {answers} = await sendRequests(t, 1, {
			route: {...modelRoute, targetGap},
			timeout: 1000,
			nextServers(known) {
				known.applyRecords(Array.from({length: serverCount}, (_, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
			},
		});
		t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
	});
}

test('the answer of a smaller model is forwarded though the process was held up from before it was due until after the deadline', async t => {
	let isHeldUp = false;
	const port = await listenForModels(t, () => {
		setTimeout(() => {
			const until = performance.now() + 1000;
			while (performance.now() < until) {
				isHeldUp = true;
			}
		}, 300);
	});
	const {answers} = await sendRequests(t, 1, {
		route: modelRoute,
		timeout: 1000,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.true(isHeldUp);
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});

/** Counts the sends of a request to servers that take 1400 ms, when the expected latency of a short prompt is 100 ms. */
async function countSends(t: ExecutionContext, inputTokens: number): Promise<number> {
	let sends = 0;
	const port = await listen(t, (_message, response) => {
		sends++;
		setTimeout(() => {
			response.writeHead(200, {Confidence: '95'});
			response.end('id: 1\ndata: read\n\n');
		}, 1400);
	});
	const latencies = new LatencyEstimator({monotonic: () => performance.now()});
	latencies.record(`${modelRoute.id} small`, {milliseconds: 100, tokens: 1000});
	const {answers} = await sendRequests(t, 1, {
		route: modelRoute,
		inputTokens,
		latencies,
		nextServers(known) {
			known.applyRecords(['server-1', 'server-2', 'server-3'].map(id => testServer({id: id as ServerId, port})), {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({text}) => text), ['id: 1\ndata: read\n\n']);
	return sends;
}

test('a long prompt stays at one server, and a short one that is queued there is sent to another', async t => {
	t.is(await countSends(t, 50_000), 1);
	t.true(await countSends(t, 1000) > 1);
});

test('the answer of a smaller model is forwarded if the better one breaks before its first event', async t => {
	const port = await listenForModels(t, (message, response) => {
		response.writeHead(200);
		response.flushHeaders();
		setTimeout(() => {
			message.socket.resetAndDestroy();
		}, 20);
	});
	const {answers} = await sendRequests(t, 1, {
		route: {...modelRoute, maximumAttempts: 2},
		timeout: 5000,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[200, 'id: 1\ndata: small\n\n']]);
});

test('a fallback answer whose connection broke is not used, and the caller gets a failure', async t => {
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
	const {answers} = await sendRequests(t, 1, {
		route: {...modelRoute, isResumable: false},
		timeout: 5000,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(answers.map(({status, text}) => [status, text]), [[502, 'outcome-unknown']]);
});

test('the last log line and the answer of a request that timed out at a server state that it may have run', async t => {
	const port = await listen(t, ignore);
	const lines: Array<readonly [string, Readonly<Record<string, unknown>>]> = [];
	const {answers} = await sendRequests(t, 1, {
		route: testRoute({kind: 'unsafe', timeout: 3000}),
		timeout: 3000,
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: 0});
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

/** Answers with two events, with a pause between them that exceeds the stall timeout. */
function answerWithPause(_message: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200);
	response.write('id: 1\ndata: one\n\n');
	setTimeout(() => {
		response.end('id: 2\ndata: two\n\n');
	}, pauseMilliseconds);
}

const bothEvents = {status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'};

test('a stalled stream of the only server is kept', async t => {
	const port = await listen(t, answerWithPause);
	const answer = await sendRequest(t, servers => {
		servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
	}, testRoute({...pausingRoute, maximumAttempts: 3}));
	t.deepEqual(answer, bothEvents);
});

test('a stalled stream of the last allowed send is kept', async t => {
	const ports = await Promise.all([listen(t, answerWithPause), listen(t, answerWithPause)]);
	const answer = await sendRequest(t, servers => {
		servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
	}, testRoute({...pausingRoute, maximumAttempts: 1}));
	t.deepEqual(answer, bothEvents);
});

test('a rejected answer names a rate limit too, and the request is refused at once if no other server is left', async t => {
	let arrived = 0;
	let waits = 0;
	const reports: string[] = [];
	const port = await listen(t, (_message, response) => {
		arrived++;
		response.writeHead(429, {limit: '0.5'}).end();
	});
	const {answers} = await sendRequests(t, 2, {
		nextServers(servers) {
			waits++;
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		route: testRoute({kind: 'safe', maximumAttempts: 2}),
		log(kind) {
			reports.push(kind);
		},
	});
	t.deepEqual(answers.map(({status}) => status), [503, 503]);
	t.is(arrived, 1);
	t.is(waits, 1, 'only the first request waits for a server to appear');
	t.is(reports.filter(kind => kind === 'server-limit-changed').length, 1);
});

test('requests go past a server that rejected one and asked for a pause', async t => {
	let rejected = 0;
	const rejecting = await listen(t, (_message, response) => {
		rejected++;
		response.writeHead(429, {pause: '5000'}).end();
	});
	const serving = await listen(t, (_message, response) => {
		response.end('printed');
	});
	const {answers} = await sendRequests(t, 8, {
		nextServers(servers) {
			servers.applyRecords([testServer({port: rejecting, slots: 24}), testServer({id: 'server-2' as ServerId, port: serving})], {source: control, now: performance.now()});
		},
		route: testRoute({kind: 'safe', maximumAttempts: 2, timeout: 8000}),
	});
	t.deepEqual(new Set(answers.map(({status}) => status)), new Set([200]));
	t.is(rejected, 1);
});

test('a request starts with the largest model while all servers of the service name rate limits', async t => {
	const models: Array<string | string[] | undefined> = [];
	const port = await listen(t, ({headers: {model}}, response) => {
		models.push(model);
		response.writeHead(200, {confidence: model === 'small' ? '10' : '90', limit: '100'}).end('id: 1\ndata: drafted\n\n');
	});
	const records = [testServer({port}), testServer({id: 'server-2' as ServerId, port})];
	await sendRequests(t, 1, {
		nextServers() {
			// The servers are known from the start.
		},
		route: testRoute({
			kind: 'streaming', isResumable: true, timeout: 8000, maximumAttempts: 2, sizes: ['small', 'large'] as ModelId[],
		}),
		prepare({servers}) {
			const now = performance.now();
			servers.applyRecords(records, {source: control, now});
			for (const record of records) {
				servers.limits.rates.hear(record, {requestsPerSecond: 100, now});
			}

			servers.limits.rates.renewLeases({source: control, leases: records.map(({id}) => [id, 9, 1]), validUntil: now + 60_000});
		},
	});
	t.deepEqual(models, ['large']);
});

test('a server whose kept connection falls silent while the links of the instance are in doubt is not blamed', async t => {
	let known: EntryContext | undefined;
	const requests: string[] = [];
	const port = await listen(t, (message, response) => {
		requests.push(message.url ?? '');
		if (requests.length === 1) {
			response.end('found');
			return;
		}

		known?.links.of(testServer().service).recordUnreachable('server-8' as ServerId);
		known?.links.of(testServer().service).recordUnreachable('server-9' as ServerId);
	});
	const {evidence} = await sendRequests(t, 2, {
		route: testRoute({kind: 'safe', timeout: 1000, maximumAttempts: 2}),
		areServersReachable: false,
		prepare(context) {
			known = context;
		},
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(evidence.map(({answers, failures}) => [answers, failures]), [[1, 0]]);
});

/** Sends a request on a route with models, and returns its answers and whether admission was asked. */
async function sendThroughAdmission(t: ExecutionContext, admit: EntryContext['admission']['admit'], route = modelRoute) {
	const sends: string[] = [];
	const candidates: AdmissionCandidate[] = [];
	const port = await listen(t, (_message, response) => {
		sends.push('sent');
		response.writeHead(200, {Confidence: '95'});
		response.end('id: 1\ndata: read\n\n');
	});
	const {answers} = await sendRequests(t, 1, {
		route,
		timeout: 1000,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		admission: {
			async admit(candidate) {
				candidates.push(candidate);
				return admit(candidate);
			},
			heldWork: () => [],
			retryAfter: () => undefined,
		},
	});
	return {answers, sends, candidates};
}

test('a request for a model is sent only after its admission, and a rejected one is not sent at all', async t => {
	const {answers, sends, candidates} = await sendThroughAdmission(t, async () => undefined);
	t.deepEqual([answers[0]?.status, sends.length], [200, 1]);
	t.like(candidates, [{
		priority: 2, workspace: 'mills', targetLatency: 2000, work: 200,
	}]);
	const rejected = await sendThroughAdmission(t, async () => failure('overloaded', 'All servers are busy', {retryAfterMilliseconds: 400}));
	t.deepEqual([rejected.answers[0]?.text, rejected.sends.length], ['overloaded', 0]);
});

/** Sends a request of an urgent route whose workspace has the priority 1, and returns the urgencies that its servers are told. */
async function urgenciesTold(t: ExecutionContext, age: number): Promise<ReadonlyArray<number | undefined>> {
	const urgencies: Array<number | undefined> = [];
	const port = await listenForModels(t, (_message, response) => {
		response.end('id: 1\ndata: large\n\n');
	});
	await sendRequests(t, 1, {
		route: {...modelRoute, priority: 0},
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		prepare({dialect, poolLoads}) {
			const {sendHeaders} = dialect;
			Object.assign(poolLoads, {picture: (): PoolPicture => ({age, workAt: () => undefined, heldByOthers: []})});
			Object.assign(dialect, {
				sendHeaders(...[request, metadata]: Parameters<typeof sendHeaders>) {
					urgencies.push(metadata.urgency);
					return sendHeaders(request, metadata);
				},
			});
		},
	});
	return urgencies;
}

test('servers are told the urgency of the route among equal workspaces, and of the workspace while the load of the pool is not known', async t => {
	t.deepEqual(await urgenciesTold(t, 200), [0, 0]);
	t.deepEqual(await urgenciesTold(t, Number.POSITIVE_INFINITY), [1, 1]);
});

/** Returns what an instance tells of the processing time of a prompt on a route whose prompts of 1,000 tokens take 100 ms. */
async function readingTold(t: ExecutionContext, {age, inputTokens}: {readonly age: number; readonly inputTokens: number}): Promise<number | undefined> {
	const port = await listenForModels(t, (_message, response) => {
		response.end('id: 1\ndata: large\n\n');
	});
	const latencies = new LatencyEstimator({monotonic: () => performance.now()});
	latencies.record(`${modelRoute.id} small`, {milliseconds: 100, tokens: 1000});
	const told: Array<number | undefined> = [];
	await sendRequests(t, 1, {
		route: modelRoute,
		inputTokens,
		latencies,
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
		prepare({servers, poolLoads}) {
			const beginSend = servers.beginSend.bind(servers);
			Object.assign(poolLoads, {picture: (): PoolPicture => ({age, workAt: () => undefined, heldByOthers: []})});
			Object.assign(servers, {
				beginSend(...[id, options]: Parameters<typeof beginSend>) {
					told.push(options.reading);
					return beginSend(id, options);
				},
			});
		},
	});
	return told[0];
}

test('a caller that states a hundred times the length of its prompt does not make a server look busy to other instances for more than ten times a mean prompt', async t => {
	t.is(await readingTold(t, {age: 200, inputTokens: 1000}), 100);
	t.is(await readingTold(t, {age: 200, inputTokens: 199_000}), 1000);
	t.is(await readingTold(t, {age: Number.POSITIVE_INFINITY, inputTokens: 199_000}), 10_000, 'as before while instances do not decide by the load of the pool');
});

test('a request without a choice of models is not subject to admission', async t => {
	const {answers, candidates} = await sendThroughAdmission(t, async () => failure('overloaded', 'All servers are busy'), testRoute({timeout: 8000}));
	t.deepEqual([answers[0]?.status, candidates.length], [200, 0]);
});

test('a request whose deadline passes while it is held leaves the queue and is not sent', async t => {
	const {answers, sends} = await sendThroughAdmission(t, async ({ended}) => {
		await once(ended, 'abort');
		return undefined;
	});
	t.deepEqual([answers[0]?.text, sends.length], ['no-server', 0]);
});

test('a caller whose request all servers rejected for lack of room is told when there is some', async t => {
	const port = await listen(t, (_message, response) => {
		response.writeHead(429).end();
	});
	const told: Array<number | undefined> = [];
	for (const predicted of [1700, undefined]) {
		await sendRequests(t, 1, {
			route: {...modelRoute, maximumAttempts: 1},
			nextServers(known) {
				known.applyRecords([testServer({port})], {source: control, now: performance.now()});
			},
			onRefused({retryAfterMilliseconds}) {
				told.push(retryAfterMilliseconds);
			},
			admission: {admit: async () => undefined, heldWork: () => [], retryAfter: () => predicted},
		});
	}

	t.deepEqual(told, [1700, 250]);
});

test('the head of a streamed answer tells the time to the first event beside the one that was expected at the send', async t => {
	const port = await listenForModels(t, (_message, response) => {
		response.end('id: 1\ndata: large\n\n');
	});
	const latencies = new LatencyEstimator({monotonic: () => performance.now()});
	latencies.record(`${modelRoute.id} small`, {milliseconds: 100, tokens: 1000});
	latencies.record(`${modelRoute.id} large`, {milliseconds: 300, tokens: 1000});
	const expected: number[] = [];
	await sendRequests(t, 1, {
		route: modelRoute,
		inputTokens: 1000,
		latencies,
		speedReports: {
			workAt: () => ({reading: 250, streams: 1, slowness: 2}),
			recordSample(_server, sample) {
				expected.push(sample.expected);
				t.true(sample.observed >= 0);
			},
		},
		nextServers(known) {
			known.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	t.deepEqual(expected.map(milliseconds => Math.round(milliseconds)), [350, 550]);
});

test('a stream that a second server answers with an error is broken off, and its send does not stay counted', async t => {
	let arrived = 0;
	const ports = await Promise.all(['a', 'b'].map(async () => listen(t, (_message, response) => {
		arrived++;
		if (arrived === 1) {
			response.writeHead(200);
			response.write('id: 1\ndata: one\n\n', () => {
				setTimeout(() => {
					response.socket?.resetAndDestroy();
				}, 20);
			});
			return;
		}

		response.writeHead(404).end('unknown');
	})));
	const lines: Array<readonly [kind: string, fields: Readonly<Record<string, unknown>>]> = [];
	let known: EntryServers | undefined;
	const {answers} = await sendRequests(t, 1, {
		nextServers(servers) {
			known = servers;
			servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
		route: testRoute({
			kind: 'streaming', isResumable: true, timeout: 8000, targetLatency: 200, maximumAttempts: 2,
		}),
		log(kind, fields) {
			lines.push([kind, fields]);
		},
		async call(port) {
			const outgoing = openRequest({host: '127.0.0.1', port, agent: false}).end();
			const [message] = await once(outgoing, 'response') as [IncomingMessage];
			message.on('error', ignore).resume();
			await new Promise(resolve => {
				message.on('close', resolve);
			});
			return {status: message.statusCode ?? 0, text: String(message.complete)};
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'false'}]);
	t.is(arrived, 2);
	t.like(lines.find(([kind]) => kind === 'request-ended')?.[1], {outcome: 'broken-off', sends: 2});
	t.deepEqual(known?.loads, []);
});
