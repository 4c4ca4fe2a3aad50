import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {control, listen, sendRequests} from './_test-run.js';
import {testRequest} from './_test-request.js';
import {type EntryContext} from './entry-context.js';

type Handle = (message: IncomingMessage, response: ServerResponse) => void;

const events = 'id: 1\ndata: one\n\n';
const plain = testRoute({
	kind: 'safe', isPublic: true, timeout: 2500, targetLatency: 1200, maximumAttempts: 3,
});
const stream = testRoute({
	kind: 'streaming', isResumable: true, isPublic: true, timeout: 10_000, targetLatency: 800, maximumAttempts: 3,
});

/** Starts an entry instance before three servers that count their runs. */
async function startEntry(t: ExecutionContext, {route, handle}: {readonly route: RoutingConfiguration['routes'][number]; readonly handle: Handle}) {
	const runs = new Map<string, number>();
	const ports = await Promise.all([0, 1, 2].map(async () => listen(t, (message, response) => {
		const target = message.url ?? '';
		runs.set(target, (runs.get(target) ?? 0) + 1);
		handle(message, response);
	})));
	const {port} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({id: `server-${index}` as ServerId, port: serverPort})),
		routes: [route],
		dialect: {readRequest: ({url}) => testRequest({timeout: 30_000, target: url ?? ''})},
	});
	return {
		async request(name: string) {
			const startedAt = performance.now();
			const response = await fetch(`http://127.0.0.1:${port}/labels/${name}`);
			return {status: response.status, text: await response.text(), milliseconds: performance.now() - startedAt};
		},
		runsOf: (prefix: string) => [...runs].filter(([target]) => target.startsWith(`/labels/${prefix}`)).reduce((sum, [, count]) => sum + count, 0),
	};
}

async function answerAfter(response: ServerResponse, milliseconds: number): Promise<void> {
	await delay(milliseconds);
	response.end(events);
}

/** Requests that take long at every server, beside others that are answered at once. */
async function sendMixed(t: ExecutionContext, {route, longMilliseconds}: {readonly route: RoutingConfiguration['routes'][number]; readonly longMilliseconds: number}) {
	const entry = await startEntry(t, {
		route,
		handle(message, response) {
			void answerAfter(response, message.url?.includes('long') === true ? longMilliseconds : 20);
		},
	});
	const long = Array.from({length: 8}, async (_, index) => {
		await delay(index * 100);
		return entry.request(`long-${index}`);
	});
	for (let index = 0; index < 150; index++) {
		await entry.request(`short-${index}`);
	}

	return {answers: await Promise.all(long), runs: entry.runsOf('long') + entry.runsOf('short'), requests: 158};
}

test('requests that take more than a share of their time limit at every server are answered, beside fast ones', async t => {
	const {answers, runs, requests} = await sendMixed(t, {route: plain, longMilliseconds: 1500});
	t.deepEqual(answers.map(({status}) => status), Array.from({length: 8}, () => 200));
	t.true(runs <= 1.1 * requests, `${runs} runs`);
});

test('a stream whose first event takes long at every server begins when its first server answers, beside fast ones', async t => {
	const {answers, runs, requests} = await sendMixed(t, {route: stream, longMilliseconds: 1500});
	t.deepEqual(answers.map(({text}) => text), Array.from({length: 8}, () => events));
	t.true(runs <= 1.1 * requests, `${runs} runs`);
});

test('the first server answers a request though a second one was asked', async t => {
	let sends = 0;
	const entry = await startEntry(t, {
		route: stream,
		handle(_message, response) {
			sends++;
			if (sends === 1) {
				void answerAfter(response, 1500);
			}
		},
	});
	const {status, text} = await entry.request('only');
	t.deepEqual([status, text, entry.runsOf('only')], [200, events, 2]);
});

test('a request goes on at its first server if the second one rejects, fails or ends it', async t => {
	for (const reply of [
		(response: ServerResponse) => response.writeHead(429).end(),
		(response: ServerResponse) => response.writeHead(500).end(),
		(response: ServerResponse) => response.destroy(),
	]) {
		let sends = 0;
		const entry = await startEntry(t, {
			route: stream,
			handle(_message, response) {
				sends++;
				if (sends === 1) {
					void answerAfter(response, 1500);
				} else {
					reply(response);
				}
			},
		});
		const {status, text} = await entry.request('only');
		t.deepEqual([status, text], [200, events]);
	}
});

test('a request whose server loses it is answered by another one', async t => {
	let sends = 0;
	const entry = await startEntry(t, {
		route: plain,
		handle(_message, response) {
			sends++;
			if (sends > 1) {
				response.end(events);
			}
		},
	});
	const {status, text} = await entry.request('lost');
	t.deepEqual([status, text, entry.runsOf('lost')], [200, events, 2]);
});

test('the first request of a route is answered by another server if its own loses it, though less than the target latency is left', async t => {
	let sends = 0;
	const entry = await startEntry(t, {
		route: testRoute({...plain, targetLatency: 1500}),
		handle(_message, response) {
			sends++;
			if (sends > 1) {
				response.end(events);
			}
		},
	});
	const {status, text} = await entry.request('lost');
	t.deepEqual([status, text, entry.runsOf('lost')], [200, events, 2]);
});

test('the server that lost the race is told to stop', async t => {
	let sends = 0;
	let stop: () => void;
	const stopped = new Promise<void>(resolve => {
		stop = resolve;
	});
	const entry = await startEntry(t, {
		route: plain,
		handle(_message, response) {
			sends++;
			if (sends > 1) {
				response.end(events);
				return;
			}

			response.on('close', () => {
				stop();
			});
		},
	});
	await entry.request('lost');
	await t.notThrowsAsync(stopped);
});

test('each send adds to the allowance for second sends, so that busy routes may make more', async t => {
	const port = await listen(t, (_message, response) => {
		response.end(events);
	});
	let context: EntryContext | undefined;
	await sendRequests(t, 3, {
		route: plain,
		prepare(prepared) {
			context = prepared;
		},
		nextServers(servers) {
			servers.applyRecords([testServer({port})], {source: control, now: performance.now()});
		},
	});
	const {service} = plain.services[0]!;
	const late = {server: 'i-late', now: performance.now()};
	for (let count = 0; count < 10; count++) {
		context!.hedges.recordLate(service, late);
	}

	let allowed = 0;
	while (allowed < 10 && context!.hedges.allows(service, late)) {
		context!.hedges.withdraw(service, late);
		allowed++;
	}

	// One from the start, and one for each send at the ratio of the test run.
	t.true(allowed >= 4, `${allowed} allowed`);
	t.true(allowed < 10, `${allowed} allowed`);
});

test('a server that accepts connections and answers nothing gets few further requests', async t => {
	let mute: number | undefined;
	let muteRuns = 0;
	const entry = await startEntry(t, {
		route: testRoute({...plain, targetLatency: 300}),
		handle({socket: {localPort}}, response) {
			mute ??= localPort;
			if (localPort === mute) {
				muteRuns++;
			} else {
				response.end(events);
			}
		},
	});
	const statuses: number[] = [];
	for (let index = 0; index < 60; index++) {
		const {status} = await entry.request(`any-${index}`);
		statuses.push(status);
	}

	t.deepEqual(statuses, Array.from({length: 60}, () => 200));
	t.true(muteRuns <= 6, `${muteRuns} runs`);
});
