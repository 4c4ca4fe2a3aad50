import {type ServerResponse} from 'node:http';
import {type Failure, type ModelId, type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {testRequest} from './_test-request.js';
import {control, listen, sendRequests} from './_test-run.js';
import {AnswerOutlook} from './answer-outlook.js';
import {type EntryContext} from './entry-context.js';
import {type EntryServers} from './entry-servers.js';

const events = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';
const smallEvents = 'id: 1\ndata: small\n\n';
const retryMilliseconds = 1700;
/** The time limit of each request, which no test comes near, in milliseconds. */
const limitMilliseconds = 60_000;
const longMilliseconds = 2 * limitMilliseconds;
const shortMilliseconds = limitMilliseconds / 10;
/** One answer less than a quantile needs. */
const tooFew = 19;

/** Has an instance know that answers took a number of milliseconds. */
type Know = (milliseconds: number, options?: {readonly model?: string; readonly count?: number}) => void;

type LateDispatch = {
	readonly sizes?: readonly string[];
	/** Streaming by default. */
	readonly kind?: 'safe' | 'unsafe' | 'streaming';
	/** The number of servers; 1 by default. */
	readonly serverCount?: number;
	/** The number of requests; 1 by default. */
	readonly times?: number;
	/** Called before the first request; does nothing by default. */
	readonly before?: (know: Know) => void;
	/** Called while a request is held; does nothing by default. */
	readonly whileHeld?: (know: Know) => void;
	/** Answers a send, by its number among those of its model. */
	readonly answer?: (response: ServerResponse, send: {readonly number: number; readonly model: string; readonly know: Know}) => void;
};

function nothing(): void {
	// Intentionally empty.
}

function answerWhole(response: ServerResponse): void {
	response.end(events);
}

/** Sends requests, and returns the answers, the models of the sends, the failures, and what the instance knows. */
async function sendLate(t: ExecutionContext, {sizes = [], kind = 'streaming', serverCount = 1, times = 1, before = nothing, whileHeld = nothing, answer = answerWhole}: LateDispatch) {
	const route = testRoute({
		kind, isResumable: kind === 'streaming', sizes: sizes as ModelId[], timeout: limitMilliseconds, targetLatency: 10_000, maximumAttempts: 3,
	});
	const request = testRequest({choosesModel: sizes.length > 0});
	const begunAt = performance.now();
	let known: EntryContext | undefined;
	const outlookAt = (now: number): AnswerOutlook => new AnswerOutlook({wholeTimes: known!.wholeTimes, clock: {now: () => new Date(), monotonic: () => now}}, {
		request, route, deadlineAt: now,
	});
	const know: Know = (milliseconds, {model = sizes[0], count = tooFew + 1} = {}) => {
		const now = performance.now();
		for (let index = 0; index < count; index++) {
			const outlook = outlookAt(now);
			outlook.begin({model: model as ModelId | undefined, sentAt: now - milliseconds, lastEventId: undefined});
			outlook.end({isWhole: true});
		}
	};

	const models: string[] = [];
	const refused: Failure[] = [];
	const logged = new Set<string>();
	const ports = await Promise.all(Array.from({length: serverCount}, async () => listen(t, (message, response) => {
		const model = String(message.headers.model);
		models.push(model);
		answer(response, {number: models.filter(sent => sent === model).length, model, know});
	})));
	const {answers} = await sendRequests(t, times, {
		route,
		timeout: limitMilliseconds,
		nextServers(servers) {
			servers.applyRecords(ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port})), {source: control, now: performance.now()});
		},
		admission: {
			async admit() {
				whileHeld(know);
				return undefined;
			},
			heldWork: () => [],
			retryAfter: () => retryMilliseconds,
		},
		log(kind) {
			logged.add(kind);
		},
		onRefused(failed) {
			refused.push(failed);
		},
		prepare(context) {
			known = context;
			before(know);
		},
	});
	return {
		answers,
		models,
		refused,
		logged,
		/** Whether the instance knows, from the beginning of the test on, how long whole answers take. */
		areTimesKnown: (model?: string) => !outlookAt(begunAt).mayEnd(model as ModelId | undefined, 'nothing'),
	};
}

for (const kind of ['safe', 'unsafe', 'streaming'] as const) {
	test(`a ${kind} request whose answer cannot end is refused at once as not run`, async t => {
		const {answers, models, refused} = await sendLate(t, {
			kind,
			before(know) {
				know(longMilliseconds);
			},
		});
		t.is(answers[0]?.status, 503);
		t.deepEqual(models, []);
		t.like(refused, {length: 1, 0: {kind: 'overloaded'}});
	});

	test(`the times of whole ${kind} answers are recorded`, async t => {
		const {areTimesKnown} = await sendLate(t, {kind, times: tooFew + 1});
		t.true(areTimesKnown());
	});

	test(`the times of ${kind} answers that fail are not recorded`, async t => {
		const {areTimesKnown} = await sendLate(t, {
			kind,
			times: tooFew + 1,
			answer(response) {
				response.statusCode = 404;
				response.end();
			},
		});
		t.false(areTimesKnown());
	});
}

test('a request whose answer cannot end any more after it was held is refused as not run', async t => {
	const {answers, models, refused} = await sendLate(t, {
		sizes: ['small'],
		whileHeld(know) {
			know(longMilliseconds);
		},
	});
	t.is(answers[0]?.status, 503);
	t.deepEqual(models, []);
	t.like(refused, {length: 1, 0: {kind: 'overloaded', retryAfterMilliseconds: retryMilliseconds}});
});

test('a request is not refused while the times of whole answers are not known', async t => {
	const {answers} = await sendLate(t, {
		sizes: ['small'],
		before(know) {
			know(longMilliseconds, {count: tooFew});
		},
	});
	t.deepEqual(answers, [{status: 200, text: events}]);
});

test('a request is served if its answer can end', async t => {
	const {answers} = await sendLate(t, {
		sizes: ['small'],
		before(know) {
			know(shortMilliseconds);
		},
	});
	t.deepEqual(answers, [{status: 200, text: events}]);
});

test('a request that has run is sent again and not refused as not run, though its answer cannot end', async t => {
	const {answers, models, refused} = await sendLate(t, {
		sizes: ['small'],
		serverCount: 2,
		answer(response, {number, know}) {
			if (number > 1) {
				response.end(events);
				return;
			}

			know(longMilliseconds);
			response.socket?.resetAndDestroy();
		},
	});
	t.deepEqual(answers, [{status: 200, text: events}]);
	t.is(models.length, 2);
	t.deepEqual(refused, []);
});

function answerUnsure(response: ServerResponse, {model}: {readonly model: string}): void {
	if (model === 'large') {
		response.end(events);
	} else {
		response.writeHead(200, {Confidence: '5'});
		response.end(smallEvents);
	}
}

test('an escalation whose answer cannot end forwards the answer of the smaller model', async t => {
	const {answers, models, logged} = await sendLate(t, {
		sizes: ['small', 'large'],
		before(know) {
			know(longMilliseconds, {model: 'large'});
		},
		answer: answerUnsure,
	});
	t.deepEqual(answers, [{status: 200, text: smallEvents}]);
	t.deepEqual(models, ['small']);
	t.false(logged.has('request-escalated'));
});

test('an escalation whose answer can end is made', async t => {
	const {answers} = await sendLate(t, {
		sizes: ['small', 'large'],
		before(know) {
			know(shortMilliseconds, {model: 'large'});
		},
		answer: answerUnsure,
	});
	t.deepEqual(answers, [{status: 200, text: events}]);
});

test('a larger model whose send has failed is not asked again if its answer cannot end, and the smaller one\'s is forwarded', async t => {
	const {answers, models} = await sendLate(t, {
		sizes: ['small', 'large'],
		serverCount: 2,
		answer(response, send) {
			if (send.model === 'small' || send.number > 1) {
				answerUnsure(response, send);
				return;
			}

			send.know(longMilliseconds, {model: 'large'});
			response.socket?.resetAndDestroy();
		},
	});
	t.deepEqual(answers, [{status: 200, text: smallEvents}]);
	t.deepEqual(models, ['small', 'large']);
});

test('a kept send is not recorded as waited for while the answer of a smaller model is forwarded until the deadline', async t => {
	const timeout = 4000;
	const route = testRoute({
		kind: 'streaming', isResumable: true, sizes: ['small', 'large'] as ModelId[], timeout, targetLatency: 200, maximumAttempts: 5,
	});
	const models: string[] = [];
	const logged = new Set<string>();
	const abandoned: string[] = [];
	let known: EntryServers | undefined;
	const ports = await Promise.all([0, 1].map(async () => listen(t, (message, response) => {
		const model = String(message.headers.model);
		models.push(model);
		if (model === 'small') {
			response.writeHead(200, {Confidence: '5', 'Content-Type': 'text/event-stream'});
			response.write(smallEvents);
		}
	})));
	const records = ports.map((port, index) => testServer({id: `server-${index}` as ServerId, port}));
	const {answers} = await sendRequests(t, 1, {
		route,
		timeout,
		nextServers(servers) {
			known = servers;
			servers.applyRecords(records, {source: control, now: performance.now()});
		},
		log(kind, {server}) {
			logged.add(kind);
			if (kind === 'request-overdue') {
				// The server that would be asked beside the late one drains.
				known!.applyRecords(records.map(record => record.id === server ? record : {...record, state: 'draining', sequence: record.sequence + 1}), {source: control, now: performance.now()});
			}
		},
		prepare({wholeTimes}) {
			Object.assign(wholeTimes, {
				recordAbandoned(key: string) {
					abandoned.push(key);
				},
			});
		},
		async call(port) {
			const response = await fetch(`http://127.0.0.1:${port}`);
			const text = await response.text().catch(() => 'broken off');
			return {status: response.status, text};
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'broken off'}]);
	t.deepEqual(models, ['small', 'large']);
	t.true(logged.has('request-overdue'));
	t.deepEqual(abandoned, []);
});
