import {setTimeout as delay} from 'node:timers/promises';
import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {type DecisionFields} from '../logs/decision-log.js';
import {type SendAnswer, sendInOrder, stallingRoute} from './_test-ordered-sends.js';
import {type SendRequestsOptions} from './_test-run.js';

const events = Array.from({length: 4}, (_value, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`);
const heldMilliseconds = 100;

type CutLine = Readonly<Record<'dispatchedAfter' | 'firstEventAfter' | 'lastEventAfter' | 'duration' | 'held', number>>;

/** Has a stream end at its time limit and returns the line of its end. */
async function endOf(t: Parameters<typeof sendInOrder>[0], answers: readonly SendAnswer[], options: Partial<SendRequestsOptions> = {}) {
	const lines: DecisionFields[] = [];
	await sendInOrder(t, answers, {
		timeout: 3000,
		log(kind, fields) {
			if (kind === 'request-ended') {
				lines.push(fields);
			}
		},
		async call(port) {
			try {
				const response = await fetch(`http://127.0.0.1:${port}/`);
				return {status: response.status, text: await response.text()};
			} catch {
				return {status: 0, text: ''};
			}
		},
		...options,
	});
	t.is(lines.length, 1);
	return lines[0] as DecisionFields & CutLine;
}

test('the line of a stream that ends at its time limit says when it was dispatched, held, and had its events', async t => {
	const line = await endOf(t, [async response => {
		response.write(`${events[0]}: comment\n\n`);
		await delay(100);
		response.write(`${events[1]}${events[2]}`);
	}], {
		route: {
			...stallingRoute, sizes: ['small'] as ModelId[], targetGap: 5000, targetLatency: 150,
		},
		admission: {
			async admit() {
				await delay(heldMilliseconds);
				return undefined;
			},
			heldWork: () => [],
			retryAfter: () => undefined,
		},
	});
	t.like(line, {
		outcome: 'broken-off', events: 3, overdue: 0, pauses: 0, escalations: 0, handovers: 0,
	});
	const {held, dispatchedAfter, firstEventAfter, lastEventAfter, duration} = line;
	// Timers may end a millisecond early.
	t.true(held >= heldMilliseconds - 1, `${JSON.stringify(line)}`);
	t.true(dispatchedAfter >= held && firstEventAfter >= dispatchedAfter && lastEventAfter > firstEventAfter && duration > lastEventAfter, `${JSON.stringify(line)}`);
});

test('the line of a stream that ends at its time limit says that it was waited for and handed over', async t => {
	const line = await endOf(t, [
		response => {
			response.write(events[0]);
		},
		async response => {
			response.flushHeaders();
			await delay(600);
			response.write(events[1]);
		},
	], {timeout: 6000});
	t.like(line, {outcome: 'broken-off', events: 2, handovers: 1});
	t.true(Number(line.pauses) > 0, `${JSON.stringify(line)}`);
});

test('the line of an answered request has none of this', async t => {
	const line = await endOf(t, [response => {
		response.end(events.join(''));
	}]);
	t.like(line, {outcome: 'answered', events: undefined, dispatchedAfter: undefined});
});
