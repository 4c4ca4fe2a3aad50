import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {type SendAnswer, sendInOrder, stallingRoute} from './_test-ordered-sends.js';

const events = Array.from({length: 5}, (_value, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`);
const pauseMilliseconds = 1600;

/** A sound server: it pauses for longer than an event may take, and goes on. */
async function pauseAfterThird(response: ServerResponse): Promise<void> {
	response.write(events.slice(0, 3).join(''));
	await delay(pauseMilliseconds);
	response.end(events.slice(3).join(''));
}

async function breakAfterHead(response: ServerResponse): Promise<void> {
	response.flushHeaders();
	await delay(400);
	response.socket?.resetAndDestroy();
}

async function breakAfterEvent(response: ServerResponse): Promise<void> {
	response.write(events[3]);
	await delay(100);
	response.socket?.resetAndDestroy();
}

const resumedRuns: ReadonlyArray<readonly [string, SendAnswer]> = [
	['break after their heads', breakAfterHead],
	['break after their first events', breakAfterEvent],
];

for (const [name, answer] of resumedRuns) {
	for (const maximumAttempts of [2, 3]) {
		test(`a stream that pauses at a sound server is whole though runs elsewhere ${name}, ${maximumAttempts} attempts`, async t => {
			const {answers} = await sendInOrder(t, [pauseAfterThird, answer, answer], {
				serverCount: 3, timeout: 8000, route: {
					...stallingRoute, targetGap: 400, targetLatency: 400, maximumAttempts,
				},
			});
			t.deepEqual(answers, [{status: 200, text: events.join('')}]);
		});
	}
}

for (const maximumAttempts of [2, 3]) {
	test(`a stream that is lost at a server that goes on with others is whole though the server that has taken it needs 400 ms from its head to its first event, ${maximumAttempts} attempts`, async t => {
		let first: ServerId | undefined;
		const resume: SendAnswer = async response => {
			response.flushHeaders();
			await delay(400);
			response.end(events.slice(3).join(''));
		};

		const {answers} = await sendInOrder(t, [
			response => {
				response.write(events.slice(0, 3).join(''));
			},
			resume,
			resume,
		], {
			serverCount: 3,
			timeout: 8000,
			route: {
				...stallingRoute, targetGap: 400, targetLatency: 400, maximumAttempts,
			},
			log(kind, {server}) {
				if (kind === 'request-dispatched') {
					first ??= server as ServerId;
				}
			},
			prepare({servers}) {
				const interval = setInterval(() => {
					if (first !== undefined) {
						servers.recordData(first, performance.now());
					}
				}, 20);
				t.teardown(() => {
					clearInterval(interval);
				});
			},
		});
		t.deepEqual(answers, [{status: 200, text: events.join('')}]);
	});
}
