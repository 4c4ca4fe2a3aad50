import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {
	assertAnswered, assertFewRuns, sendMany, sendWhile, type TestAnswer, TestEntry, type TestKind, testKinds, type TestServer,
} from './_test-entry.js';

const longMilliseconds = 1500;
const shortMilliseconds = 20;
const stallMilliseconds = 500;

async function never(): Promise<void> {
	return new Promise(() => {
		// It is never resolved.
	});
}

for (const kind of testKinds) {
	for (const hasShort of [true, false]) {
		test.serial(`${kind} requests that take long at every server${hasShort ? ', beside fast ones,' : ''} are neither refused nor multiplied`, async t => {
			const entry = await TestEntry.start(t, {
				serverCount: 4,
				stallMilliseconds,
				deadlineMilliseconds: 2500,
				pause: async ({name, place}) => place === 'before its head' ? delay(name.startsWith('long') ? longMilliseconds : shortMilliseconds) : undefined,
			});
			let isSending = true;
			const sendShort = async () => hasShort ? sendWhile(entry, {kind, isWanted: () => isSending}) : [];
			const short = Promise.all([sendShort(), sendShort()]);
			const long = await sendMany(entry, {kind, count: 30, name: 'long'});
			isSending = false;
			const shortAnswers = await short;
			const answers = [...long, ...shortAnswers.flat()];
			assertAnswered(t, answers);
			assertFewRuns(t, {entry, kind, requests: answers.length});
		});
	}
}

type MuteServer = {
	readonly entry: TestEntry;
	readonly mute: TestServer;
	/** The answers to the requests that were sent after it had stopped to answer. */
	readonly answers: readonly TestAnswer[];
};

/** Sends requests while one of four servers does not answer any more. */
async function sendBesideMute(t: ExecutionContext, kind: TestKind): Promise<MuteServer> {
	const mute = new Set<ServerId>();
	const entry = await TestEntry.start(t, {
		serverCount: 4,
		stallMilliseconds,
		deadlineMilliseconds: 3000,
		pause: async ({server}) => mute.has(server.id) ? never() : undefined,
	});
	await sendMany(entry, {kind, count: 40, name: 'before'});
	const server = entry.servers[0]!;
	mute.add(server.id);
	return {entry, mute: server, answers: await sendMany(entry, {kind, count: 60, name: 'during'})};
}

for (const kind of ['safe', 'chat', 'stream'] as const) {
	test.serial(`${kind} requests beside a server that never answers are answered by others`, async t => {
		const {answers} = await sendBesideMute(t, kind);
		assertAnswered(t, answers);
	});
}

test.serial('requests that may not be repeated run once beside a server that never answers, and fail only there', async t => {
	const {entry: {runs}, mute, answers} = await sendBesideMute(t, 'unsafe');
	t.is(new Set(runs).size, runs.length);
	assertAnswered(t, answers.filter(({name}) => !mute.runs.includes(name)));
});

test.serial('the log tells by the id of a request why a second server was asked', async t => {
	let runs = 0;
	const entry = await TestEntry.start(t, {
		serverCount: 2,
		stallMilliseconds,
		deadlineMilliseconds: 5000,
		async pause({place}) {
			runs += place === 'before its head' ? 1 : 0;
			return runs === 1 ? never() : undefined;
		},
	});
	assertAnswered(t, [await entry.send('safe', 'lost')]);
	t.like(entry.logged.find(({end}) => end === 'silent'), {
		requestId: 'r-1', attempt: 1, reason: 'late', isResponsive: true, canGoElsewhere: true, hasAllowance: true, overtakenBy: 0,
	});
});
