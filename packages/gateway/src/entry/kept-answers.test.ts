import {once} from 'node:events';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {stalledStream} from './_test-stalled-stream.js';
import {KeptAnswers} from './kept-answers.js';
import {type CancellableSend} from './send-attempt.js';
import {type UnansweredSend} from './unanswered-sends.js';

const farDeadline = 60_000;

function createKept({deadlineAt = farDeadline} = {}) {
	const calls: string[] = [];
	let current: CancellableSend | undefined;
	const kept = new KeptAnswers({
		clock: {monotonic: () => 0},
		deadlineAt,
		currentSend: () => current,
		onLost({server}) {
			calls.push(`lost ${server.id}`);
		},
		onHandedOver({server}) {
			calls.push(`handed over ${server.id}`);
		},
		isGood: () => true,
		onFailed({server}) {
			calls.push(`failed ${server.id}`);
		},
		startTimer(_milliseconds, callback) {
			callback();
			return () => undefined;
		},
	});
	const startSend = (name: string): void => {
		current = {
			isSent: () => true,
			cancel() {
				calls.push(`cancel ${name}`);
			},
		};
	};

	return {kept, calls, startSend};
}

/** Creates a send whose head has arrived. */
function answeredSend(): UnansweredSend {
	return {
		number: 1,
		server: testServer(),
		sentAt: 0,
		model: undefined,
		reason: 'late',
		wasServerHeard: true,
		attempt: {
			outcome: Promise.resolve({
				type: 'head', message: new IncomingMessage(new Socket()), framing: 'chunks', isComplete: async () => true,
			}),
			overdue: new Promise(() => {
				// It is never overdue.
			}),
			watchAgain: async () => new Promise(() => {
				// It is never overdue.
			}),
			isSent: () => true,
			cancel: () => undefined,
			giveUp: () => undefined,
		},
	};
}

test('a stalled stream that continues cancels the current send, which stays superseded until the next one', async t => {
	const {kept, calls, startSend} = createKept();
	const {stream, message} = stalledStream(t);
	kept.keepStalled(stream);
	startSend('second');
	t.true(kept.isAnyKept && kept.isStalledKept);
	t.false(kept.isSuperseded);
	message.push('four');
	await once(message, 'readable');
	t.true(kept.hasContinued);
	t.deepEqual(calls, ['cancel second']);
	t.is(kept.take(), stream);
	t.false(kept.isAnyKept);
	t.true(kept.isSuperseded);
	startSend('third');
	t.false(kept.isSuperseded);
});

test('no send is superseded if a stalled stream continues while none is in progress', async t => {
	const {kept, calls} = createKept();
	const {stream, message} = stalledStream(t);
	kept.keepStalled(stream);
	message.push('four');
	await once(message, 'readable');
	t.true(kept.hasContinued);
	t.false(kept.isSuperseded);
	t.deepEqual(calls, []);
});

test('a fallback answer is taken before a stalled stream that has not continued, and after one that has', async t => {
	for (const hasContinued of [false, true]) {
		const {kept} = createKept();
		const {stream: {incomplete, ...fallback}} = stalledStream(t);
		const {stream, message} = stalledStream(t);
		kept.keepFallback(fallback);
		kept.keepStalled(stream);
		if (hasContinued) {
			message.push('four');
			await once(message, 'readable');
		}

		t.is(kept.hasContinued, hasContinued);
		t.is(kept.take(), hasContinued ? stream : fallback);
		t.is(kept.take(), hasContinued ? fallback : stream);
		t.is(kept.take(), undefined);
	}
});

test('a fallback answer that is due cancels the current send, and is taken before a stalled stream that has continued', async t => {
	const {kept, calls, startSend} = createKept({deadlineAt: 0});
	const {stream: {incomplete, ...fallback}} = stalledStream(t);
	const {stream, message} = stalledStream(t);
	startSend('second');
	kept.keepStalled(stream);
	message.push('four');
	await once(message, 'readable');
	kept.keepFallback(fallback);
	t.false(kept.isFallbackDue || kept.isTooLate);
	while (!kept.isFallbackDue) {
		await nextTurn();
	}

	t.true(kept.isTooLate);
	t.deepEqual(calls, ['cancel second', 'cancel second']);
	t.is(kept.take(), fallback);
	t.true(kept.isFallbackDue);
	t.false(kept.isTooLate);
});

test('a stalled stream that has continued is taken before a kept send whose head has arrived', async t => {
	for (const hasContinued of [false, true]) {
		const {kept} = createKept();
		const {stream, message} = stalledStream(t);
		const send = answeredSend();
		kept.keepUnanswered(send);
		kept.keepStalled(stream);
		if (hasContinued) {
			message.push('four');
			await once(message, 'readable');
		}

		await nextTurn();
		t.is(kept.takeUnanswered(), hasContinued ? undefined : send);
		t.is(kept.take(), stream);
		kept.discard();
	}
});

test('a handover closes the stalled stream, and a discard closes all answers', t => {
	const {kept, calls} = createKept();
	const first = stalledStream(t);
	kept.keepStalled({...first.stream, server: {...first.stream.server, id: 'server-7' as ServerId}});
	kept.startHandover();
	t.true(first.message.destroyed);
	t.deepEqual(calls, ['handed over server-7']);
	const [second, third] = [stalledStream(t), stalledStream(t)];
	kept.keepStalled(second.stream);
	kept.keepFallback(third.stream);
	kept.discard();
	t.true(second.message.destroyed && third.message.destroyed);
	t.false(kept.isAnyKept);
});
