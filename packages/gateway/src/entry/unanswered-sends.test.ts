import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {listen} from './_test-run.js';
import {type SendOutcome} from './send-attempt.js';
import {noOpLoad} from './tracked-server.js';
import {type UnansweredSend, UnansweredSends} from './unanswered-sends.js';

/** Creates a send whose outcome is set by the test. */
function testSend(name: string, calls: string[]) {
	let settle: (outcome: SendOutcome) => void;
	const outcome = new Promise<SendOutcome>(resolve => {
		settle = resolve;
	});
	const send: UnansweredSend = {
		number: 1,
		server: testServer({id: name as ServerId}),
		sentAt: 0,
		model: undefined,
		reason: 'late',
		wasServerHeard: true,
		load: {
			...noOpLoad,
			end() {
				calls.push(`end ${name}`);
			},
		},
		attempt: {
			outcome,
			overdue: new Promise(() => {
				// It is never overdue.
			}),
			watchAgain: async () => new Promise(() => {
				// It is never overdue.
			}),
			isSent: () => true,
			cancel() {
				calls.push(`cancel ${name}`);
			},
			giveUp: () => undefined,
		},
	};
	return {
		send,
		async end(result: SendOutcome) {
			settle(result);
			await nextTurn();
		},
	};
}

function testHead(): SendOutcome {
	return {
		type: 'head', message: new IncomingMessage(new Socket()), framing: 'chunks', isComplete: async () => true,
	};
}

function createUnanswered({isGood = true} = {}) {
	const calls: string[] = [];
	const sends = new UnansweredSends({
		isGood: () => isGood,
		onAnswered() {
			calls.push('answered');
		},
		onFailed({server}) {
			calls.push(`failed ${server.id}`);
		},
	});
	return {sends, calls};
}

test('the send that is answered first is taken, whatever the order in which they were made', async t => {
	const {sends, calls} = createUnanswered();
	const [first, second] = [testSend('one', calls), testSend('two', calls)];
	sends.keep(first.send);
	sends.keep(second.send);
	t.true(sends.isAnyKept && !sends.isAnswered);
	await second.end(testHead());
	await first.end(testHead());
	t.true(sends.isAnswered);
	t.is(sends.take(), second.send);
	t.is(sends.take(), first.send);
	t.is(sends.take(), undefined);
	t.deepEqual(calls, ['answered']);
});

test('a send that fails or is answered with an error is dropped, and the others go on', async t => {
	const {sends, calls} = createUnanswered({isGood: false});
	const [first, second, third] = [testSend('one', calls), testSend('two', calls), testSend('three', calls)];
	for (const {send} of [first, second, third]) {
		sends.keep(send);
	}

	await first.end({type: 'lost', reason: 'reset', isExcessive: false});
	await second.end(testHead());
	t.deepEqual(calls, ['failed one', 'failed two']);
	t.is(sends.take(), third.send);
});

test('a discard cancels all sends, and what they end with is not handled', async t => {
	const {sends, calls} = createUnanswered();
	const [first, second] = [testSend('one', calls), testSend('two', calls)];
	sends.keep(first.send);
	sends.keep(second.send);
	sends.discard();
	await first.end({type: 'cancelled'});
	await second.end(testHead());
	t.deepEqual(calls, ['cancel one', 'end one', 'cancel two', 'end two']);
	t.false(sends.isAnyKept || sends.isAnswered);
});

/** Longer than the time after which a request is sent to another server. */
const answerMilliseconds = 1000;
const events = 'id: 1\ndata: one\n\n';
const route = testRoute({
	kind: 'streaming', isResumable: true, isPublic: true, timeout: 30_000,
});

for (const [name, serverCount, isRouteRemoved] of [
	['is not given up while there is no other server', 1, false],
	['goes to another server though the configuration no longer has its route', 2, true],
] as const) {
	test(`a request whose server is slow to answer ${name}`, async t => {
		let sends = 0;
		const handle: Parameters<typeof listen>[1] = (_message, response) => {
			sends++;
			if (isRouteRemoved) {
				changeRoutes([testRoute({pathPrefix: '/other/'})]);
			}

			setTimeout(() => {
				response.end(events);
			}, answerMilliseconds);
		};

		const ports = await Promise.all(Array.from({length: serverCount}, async () => listen(t, handle)));
		const {port, changeRoutes} = await startTestEntry(t, {
			records: ports.map((serverPort, index) => testServer({id: `server-${index}` as ServerId, port: serverPort})),
			routes: [route],
		});
		const response = await fetch(`http://127.0.0.1:${port}/labels/7`);
		t.deepEqual([response.status, await response.text(), sends], [200, events, serverCount]);
	});
}

test('a request is sent to another server while the first one is slow to answer', async t => {
	let sends = 0;
	const handle: Parameters<typeof listen>[1] = (_message, response) => {
		sends++;
		if (sends > 1) {
			response.end(events);
		}
	};

	const ports = await Promise.all([0, 1].map(async () => listen(t, handle)));
	const {port} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({id: `server-${index}` as ServerId, port: serverPort})),
		routes: [route],
	});
	const response = await fetch(`http://127.0.0.1:${port}/labels/7`);
	t.deepEqual([response.status, await response.text(), sends], [200, events, 2]);
});
