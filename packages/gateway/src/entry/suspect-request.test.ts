import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type ModelId, type ServerId, type WorkspaceId} from '@valehitch/core';
import {fingerprintRequest, promptPartFingerprint} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {testRequest} from './_test-request.js';
import {
	control, ignore, listen, sendRequests, type SendRequestsOptions,
} from './_test-run.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';

/** The fingerprint of the request that the tests send. */
const fingerprint = fingerprintRequest({...testRequest(), workspace: 'mills' as WorkspaceId, body: new Uint8Array()});
const safeRoute = testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 3});
const streamRoute = testRoute({
	kind: 'streaming', isResumable: true, timeout: 8000, targetLatency: 2000, maximumAttempts: 3, sizes: ['small', 'large'] as ModelId[],
});

/** Records that a number of servers ended during the request. */
function recordServerEnds(count: number) {
	return ({suspects}: Pick<EntryContext, 'suspects'>): void => {
		for (let index = 0; index < count; index++) {
			suspects.registry.recordExit(fingerprint, {process: `former ${index}`, at: Date.now()});
		}
	};
}

/** Adds several servers with the same port, which represent separate processes. */
function serversAt(port: number, count = 6) {
	return (known: EntryServers): void => {
		known.applyRecords(Array.from({length: count}, (_, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
	};
}

/** Sends one request; returns its answer and the models that were requested. */
async function requestOnce(t: ExecutionContext, answer: (response: ServerResponse, model: string) => void, options: Partial<SendRequestsOptions> = {}) {
	const models: string[] = [];
	const port = await listen(t, ({headers: {model}}, response) => {
		models.push(String(model));
		answer(response, String(model));
	});
	const {answers, evidence} = await sendRequests(t, 1, {nextServers: serversAt(port), route: safeRoute, ...options});
	return {
		status: answers[0]?.status, text: answers[0]?.text, models, evidence,
	};
}

function closeConnection({socket}: ServerResponse): void {
	socket?.destroy();
}

test('a request during which three servers ended is not sent, and its caller gets a final answer', async t => {
	const result = await requestOnce(t, ignore, {prepare: recordServerEnds(3)});
	t.like(result, {status: 400, text: 'request-quarantined', models: []});
});

test('a request with a quarantined part in its prompt is not sent, and its caller gets a final answer', async t => {
	const part = promptPartFingerprint('5c');
	const result = await requestOnce(t, ignore, {
		promptParts: [{id: '5c', tokens: 800}, {id: 'e4', tokens: 250}],
		prepare({suspects}) {
			for (const [index, process] of ['a', 'b', 'c'].entries()) {
				suspects.registry.recordExit(part, {process, at: Date.now() - 10_000 + (index * 1000)});
			}
		},
	});
	t.like(result, {status: 400, text: 'request-quarantined', models: []});
});

test('a request with a doubtful part in its prompt waits before it is sent again, and is not once the part is proved to be the cause', async t => {
	const part = promptPartFingerprint('5c');
	const waits: number[] = [];
	let suspects: EntryContext['suspects'] | undefined;
	const result = await requestOnce(t, closeConnection, {
		promptParts: [{id: '5c', tokens: 800}, {id: 'e4', tokens: 250}],
		checkProcess: async () => 'ended',
		prepare(context) {
			suspects = context.suspects;
			suspects.registry.recordExit(part, {process: 'a', at: Date.now() - 10_000});
		},
		async wait(milliseconds) {
			waits.push(milliseconds);
			suspects?.registry.recordExit(part, {process: 'b', at: Date.now() - 9000});
			await delay(milliseconds);
		},
	});
	t.like(result, {status: 400, text: 'request-quarantined'});
	t.is(result.models.length, 1);
	t.is(waits.length, 1);
});

test('a request is sent again at once after its server ended once', async t => {
	const waits: number[] = [];
	let answers = 0;
	const result = await requestOnce(t, response => {
		answers++;
		if (answers === 1) {
			closeConnection(response);
		} else {
			response.end();
		}
	}, {
		promptParts: [{id: '5c', tokens: 800}, {id: 'e4', tokens: 250}],
		checkProcess: async () => 'ended',
		async wait(milliseconds) {
			waits.push(milliseconds);
		},
	});
	t.is(result.models.length, 2);
	t.deepEqual(waits, []);
});

test('a request that crashes servers is sent to three of them, and its answer does not state that it was not run', async t => {
	const result = await requestOnce(t, closeConnection, {checkProcess: async () => 'ended', route: {...safeRoute, maximumAttempts: 6}});
	t.like(result, {status: 400, text: 'request-quarantined'});
	t.is(result.models.length, 3);
});

test('a request is not suspect if its connections break while the servers keep running', async t => {
	let known: EntryContext | undefined;
	const result = await requestOnce(t, closeConnection, {
		prepare(context) {
			known = context;
		},
	});
	t.like(result, {status: 502, text: 'outcome-unknown'});
	t.is(result.models.length, 3);
	t.true(known?.suspects.registry.isEmpty);
});

test('a complete answer clears a request during which two servers ended', async t => {
	let known: EntryContext | undefined;
	const result = await requestOnce(t, response => {
		response.end('printed');
	}, {
		prepare(context) {
			known = context;
			recordServerEnds(2)(context);
		},
	});
	t.like(result, {status: 200, text: 'printed'});
	t.is(known?.suspects.statusOf(fingerprint), 'unknown');
});

test('a send that waits for an answer is cancelled when the request is quarantined elsewhere', async t => {
	let known: EntryContext | undefined;
	const began = performance.now();
	const result = await requestOnce(t, () => {
		setTimeout(() => {
			known?.suspects.merge([{fingerprint, ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false}))}], control);
		}, 50);
	}, {
		route: testRoute({kind: 'unsafe', timeout: 8000, maximumAttempts: 1}),
		prepare(context) {
			known = context;
		},
	});
	t.like(result, {status: 400, text: 'request-quarantined'});
	t.is(result.models.length, 1);
	t.true(performance.now() - began < safeRoute.timeout);
	// The cancelled send does not count against its server.
	t.deepEqual(result.evidence.map(({failures}) => failures), []);
});

test('a doubtful request does not escalate to a second server, a suspect one does', async t => {
	const stream = (response: ServerResponse, model: string): void => {
		response.writeHead(200, {Confidence: model === 'small' ? '5' : '95'});
		response.end(`id: 1\ndata: ${model}\n\n`);
	};

	const doubtful = await requestOnce(t, stream, {prepare: recordServerEnds(2), route: streamRoute});
	t.deepEqual(doubtful.models, ['small']);
	const suspect = await requestOnce(t, stream, {prepare: recordServerEnds(1), route: streamRoute});
	t.deepEqual(suspect.models, ['small', 'large']);
});

test('a server that ends while its answer is held as a fallback is noticed, and a complete answer of the larger model clears the request', async t => {
	let known: EntryContext | undefined;
	const result = await requestOnce(t, (response, model) => {
		if (model === 'large') {
			setTimeout(() => {
				response.writeHead(200, {Confidence: '95'});
				response.end('id: 1\ndata: large\n\n');
			}, 100);
			return;
		}

		response.writeHead(200, {Confidence: '5'});
		response.write('id: 1\ndata: sm');
		setTimeout(closeConnection, 20, response);
	}, {
		route: {...streamRoute, maximumAttempts: 2},
		checkProcess: async () => 'ended',
		prepare(context) {
			known = context;
		},
	});
	t.is(result.status, 200);
	t.deepEqual(known?.suspects.registry.get(fingerprint)?.ends.map(({isCleared}) => isCleared), [true]);
});

test('the end of one process counts once against its version, however many requests it had', async t => {
	const port = await listen(t, (_message, response) => {
		closeConnection(response);
	});
	const {answers, evidence} = await sendRequests(t, 3, {
		route: testRoute({kind: 'unsafe', timeout: 8000, maximumAttempts: 1}), nextServers: serversAt(port, 1), checkProcess: async () => 'ended',
	});
	t.deepEqual(answers.map(({status}) => status), [502, 502, 502]);
	t.deepEqual(evidence.map(({failures}) => failures), [1]);
});
