import {type ServerResponse} from 'node:http';
import {type ModelId, type ServerId, type WorkspaceId} from '@valehitch/core';
import {fingerprintRequest} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {testRequest} from './_test-request.js';
import {
	type AskOptions, askTimes, control, ignore, listen,
} from './_test-run.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';

/** What the caller of the tests asks, under whatever id. */
const fingerprint = fingerprintRequest({...testRequest(), workspace: 'mills' as WorkspaceId, body: new Uint8Array()});
const safeRoute = testRoute({kind: 'safe', timeout: 8000, maximumAttempts: 3});
const streamRoute = testRoute({
	kind: 'streaming', isResumable: true, timeout: 8000, targetLatency: 2000, maximumAttempts: 3, sizes: ['small', 'large'] as ModelId[],
});

/** Makes as many servers known as having ended under the request. */
function endServers(count: number) {
	return ({suspects}: Pick<EntryContext, 'suspects'>): void => {
		for (let index = 0; index < count; index++) {
			suspects.book.noteEnd(fingerprint, {process: `former ${index}`, at: Date.now()});
		}
	};
}

/** Servers behind one port, which stand for as many processes. */
function serversAt(port: number, count = 6) {
	return (known: EntryServers): void => {
		known.take(Array.from({length: count}, (_, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
	};
}

/** What one caller gets, and how often servers are asked for it. */
async function askOnce(t: ExecutionContext, answer: (response: ServerResponse, model: string) => void, options: Partial<AskOptions> = {}) {
	const models: string[] = [];
	const port = await listen(t, ({headers: {model}}, response) => {
		models.push(String(model));
		answer(response, String(model));
	});
	const {answers, evidence} = await askTimes(t, 1, {nextServers: serversAt(port), route: safeRoute, ...options});
	return {
		status: answers[0]?.status, text: answers[0]?.text, models, evidence,
	};
}

function breakOff({socket}: ServerResponse): void {
	socket?.destroy();
}

test('a request under which three servers ended is sent to none, and its caller gets a final answer', async t => {
	const asked = await askOnce(t, ignore, {prepare: endServers(3)});
	t.like(asked, {status: 400, text: 'request-quarantined', models: []});
});

test('a request that ends its servers is sent to three of them, and its answer does not say that it did not run', async t => {
	const asked = await askOnce(t, breakOff, {confirmEnd: async () => true, route: {...safeRoute, maximumAttempts: 6}});
	t.like(asked, {status: 400, text: 'request-quarantined'});
	t.is(asked.models.length, 3);
});

test('a request whose connections break while its servers go on is no suspect', async t => {
	let known: EntryContext | undefined;
	const asked = await askOnce(t, breakOff, {
		prepare(context) {
			known = context;
		},
	});
	t.like(asked, {status: 502, text: 'outcome-unknown'});
	t.is(asked.models.length, 3);
	t.true(known?.suspects.book.isEmpty);
});

test('a whole answer clears a request that two servers ended under', async t => {
	let known: EntryContext | undefined;
	const asked = await askOnce(t, response => {
		response.end('printed');
	}, {
		prepare(context) {
			known = context;
			endServers(2)(context);
		},
	});
	t.like(asked, {status: 200, text: 'printed'});
	t.is(known?.suspects.standing(fingerprint), 'unknown');
});

test('a copy that waits at a server ends as soon as the request is quarantined elsewhere', async t => {
	let known: EntryContext | undefined;
	const began = performance.now();
	const asked = await askOnce(t, () => {
		setTimeout(() => {
			known?.suspects.take([{fingerprint, ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false}))}], control);
		}, 50);
	}, {
		route: testRoute({kind: 'unsafe', timeout: 8000, maximumAttempts: 1}),
		prepare(context) {
			known = context;
		},
	});
	t.like(asked, {status: 400, text: 'request-quarantined'});
	t.is(asked.models.length, 1);
	t.true(performance.now() - began < safeRoute.timeout);
	// That it was cancelled says nothing of its server.
	t.deepEqual(asked.evidence.map(({failures}) => failures), []);
});

test('of a doubtful request no second server is put at risk for a larger model, of others it is', async t => {
	const stream = (response: ServerResponse, model: string): void => {
		response.writeHead(200, {Confidence: model === 'small' ? '5' : '95'});
		response.end(`id: 1\ndata: ${model}\n\n`);
	};

	const doubtful = await askOnce(t, stream, {prepare: endServers(2), route: streamRoute});
	t.deepEqual(doubtful.models, ['small']);
	const suspect = await askOnce(t, stream, {prepare: endServers(1), route: streamRoute});
	t.deepEqual(suspect.models, ['small', 'large']);
});

test('a server that ends while its answer is only kept is noticed, and a whole answer of the larger model clears the request', async t => {
	let known: EntryContext | undefined;
	const asked = await askOnce(t, (response, model) => {
		if (model === 'large') {
			setTimeout(() => {
				response.writeHead(200, {Confidence: '95'});
				response.end('id: 1\ndata: large\n\n');
			}, 100);
			return;
		}

		response.writeHead(200, {Confidence: '5'});
		response.write('id: 1\ndata: sm');
		setTimeout(breakOff, 20, response);
	}, {
		route: {...streamRoute, maximumAttempts: 2},
		confirmEnd: async () => true,
		prepare(context) {
			known = context;
		},
	});
	t.is(asked.status, 200);
	t.deepEqual(known?.suspects.book.get(fingerprint)?.ends.map(({isCleared}) => isCleared), [true]);
});

test('the end of one process counts once against its version, however many requests it had', async t => {
	const port = await listen(t, (_message, response) => {
		breakOff(response);
	});
	const {answers, evidence} = await askTimes(t, 3, {
		route: testRoute({kind: 'unsafe', timeout: 8000, maximumAttempts: 1}), nextServers: serversAt(port, 1), confirmEnd: async () => true,
	});
	t.deepEqual(answers.map(({status}) => status), [502, 502, 502]);
	t.deepEqual(evidence.map(({failures}) => failures), [1]);
});
