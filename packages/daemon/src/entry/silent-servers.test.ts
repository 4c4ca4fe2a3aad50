import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	assertAnswered, assertFewRuns, type RunPlace, sendMany, sendWhile, TestEntry, type TestKind, testKinds, type TestServer,
} from './_test-entry.js';

const silentMilliseconds = 1800;
const shortMilliseconds = 20;
const requestsAfterwards = 5;

const places: Readonly<Record<string, RunPlace | 'anywhere'>> = {
	'before it reads from new and idle connections': 'anywhere',
	'before its head': 'before its head',
	'between two pieces': 'between two pieces',
	'before the last byte': 'before the last byte',
};

type Silence = {
	readonly kind: TestKind;
	readonly place: RunPlace | 'anywhere';
	readonly silentCount: number;
};

/** Makes servers silent for a while, waits until each of them gets requests again, and returns what was answered. */
async function suspend(t: ExecutionContext, {kind, place, silentCount}: Silence) {
	const silences = new Map<TestServer, Promise<unknown>>();
	const entry = await TestEntry.start(t, {
		serverCount: 5,
		stallMilliseconds: 500,
		deadlineMilliseconds: 6000,
		async pause(run) {
			if (run.place === place) {
				await silences.get(run.server);
			}

			if (run.place === 'before its head') {
				await delay(shortMilliseconds);
			}
		},
	});
	const before = await sendMany(entry, {kind, count: 40, name: 'before'});
	const suspended = entry.servers.slice(0, silentCount);
	const silence = delay(silentMilliseconds);
	for (const server of suspended) {
		silences.set(server, silence);
		server.resumed = place === 'anywhere' ? silence : server.resumed;
	}

	let isOver = false;
	let phase = 'during';
	const loops = Array.from({length: 4}, async () => sendWhile(entry, {kind, isWanted: () => !isOver, nameNext: () => phase}));
	await silence;
	phase = 'after';
	while (suspended.some(({runs}) => runs.filter(name => name.startsWith(phase)).length < requestsAfterwards)) {
		await delay(shortMilliseconds);
	}

	isOver = true;
	const during = await Promise.all(loops);
	return {entry, answers: [...before, ...during.flat()]};
}

for (const kind of testKinds) {
	for (const [name, place] of Object.entries(places)) {
		test.serial(`a server that is silent ${name} and goes on fails no ${kind} requests, is not ejected and gets requests again`, async t => {
			const {entry, answers} = await suspend(t, {kind, place, silentCount: 1});
			assertAnswered(t, answers);
			assertFewRuns(t, {entry, kind, requests: answers.length});
			t.deepEqual(entry.ejected, []);
		});
	}

	test.serial(`no ${kind} request is refused while all servers are silent and go on`, async t => {
		const {entry, answers} = await suspend(t, {kind, place: 'anywhere', silentCount: 5});
		assertAnswered(t, answers);
		t.deepEqual(entry.ejected, []);
	});
}
