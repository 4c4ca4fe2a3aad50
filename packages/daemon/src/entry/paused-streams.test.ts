import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	assertAnswered, sendMany, TestEntry, type TestRun,
} from './_test-entry.js';

const pauseMilliseconds = 1600;

async function breakAfterHead({place, response}: TestRun): Promise<void> {
	if (place === 'between two pieces') {
		response.flushHeaders();
		await delay(400);
		response.socket?.resetAndDestroy();
	}
}

async function breakAfterEvents({place, response}: TestRun): Promise<void> {
	if (place === 'before the last byte') {
		await delay(100);
		response.socket?.resetAndDestroy();
	}
}

const laterRuns: ReadonlyArray<readonly [string, (run: TestRun) => Promise<void>]> = [
	['break after their heads', breakAfterHead],
	['break after their first events', breakAfterEvents],
];

for (const [name, breakOff] of laterRuns) {
	for (const serverCount of [2, 3, 4]) {
		test(`a stream that pauses at a sound engine is whole though runs elsewhere ${name}, ${serverCount} servers`, async t => {
			let first: TestRun['response'] | undefined;
			const entry = await TestEntry.start(t, {
				serverCount,
				stallMilliseconds: 400,
				deadlineMilliseconds: 8000,
				async pause(run) {
					first ??= run.response;
					if (run.response !== first) {
						await breakOff(run);
					} else if (run.place === 'between two pieces') {
						await delay(pauseMilliseconds);
					}
				},
			});
			assertAnswered(t, [await entry.send('stream', 'paused')]);
		});
	}
}

test('the log tells by the id of a request how a pause was decided on', async t => {
	let runs = 0;
	const entry = await TestEntry.start(t, {
		serverCount: 2,
		stallMilliseconds: 400,
		deadlineMilliseconds: 8000,
		async pause({place}) {
			runs += place === 'before its head' ? 1 : 0;
			return runs === 1 && place === 'between two pieces' ? delay(6000) : undefined;
		},
	});
	assertAnswered(t, [await entry.send('stream', 'lost')]);
	const paused = entry.logged.filter(({decision}) => decision !== undefined).map(({requestId, attempt, decision, reason}) => ({
		requestId, attempt, decision, reason,
	}));
	const common = {requestId: 'r-1', attempt: 1};
	t.deepEqual(paused, [{...common, decision: 'wait', reason: 'may-go-on'}, {...common, decision: 'resume-elsewhere', reason: 'silent'}]);
	t.like(entry.logged.find(({end}) => end === 'silent'), {...common, reason: 'silent'});
	t.is(runs, 2);
});

test('a stream that pauses at a sound engine is whole though a hedge of it breaks after its first events', async t => {
	let first: TestRun['response'] | undefined;
	const entry = await TestEntry.start(t, {
		serverCount: 3,
		stallMilliseconds: 400,
		deadlineMilliseconds: 8000,
		async pause(run) {
			if (run.name !== 'paused') {
				await (run.place === 'before its head' ? delay(30) : undefined);
				return;
			}

			first ??= run.response;
			if (run.response !== first) {
				await breakAfterEvents(run);
			} else if (run.place === 'between two pieces') {
				await delay(pauseMilliseconds);
			}
		},
	});
	// Hedges begin with a history of the model.
	assertAnswered(t, await sendMany(entry, {kind: 'stream', count: 60, name: 'before'}));
	assertAnswered(t, [await entry.send('stream', 'paused')]);
});
