import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {type AttemptOutput} from './attempt-output.js';
import {reportStalls} from './report-stalls.js';
import {StallTimer} from './stall-timer.js';

const stallMilliseconds = 40;
const message = 'No data';
const head: AttemptOutput = {type: 'head', head: {status: 200, headers: {}}};
const broken: AttemptOutput = {type: 'broken', message: 'Cut'};

/** Yields an output after each pause, in milliseconds. */
async function * paced(pauses: readonly number[], onEnd: () => void = () => undefined): AsyncGenerator<AttemptOutput, void> {
	try {
		for (const [index, pause] of pauses.entries()) {
			await delay(pause);
			yield index === pauses.length - 1 ? broken : head;
		}
	} finally {
		onEnd();
	}
}

test('each stall is reported once, and later outputs are forwarded', async t => {
	const types: string[] = [];
	const pause = 4 * stallMilliseconds;
	for await (const {type} of reportStalls(paced([pause, pause, 0]), {stall: new StallTimer(stallMilliseconds), message})) {
		types.push(type);
	}

	t.deepEqual(types, ['silent', 'head', 'silent', 'head', 'broken']);
});

test('a slow consumer does not count as a stall', async t => {
	const types: string[] = [];
	for await (const {type} of reportStalls(paced([0, 0, 0]), {stall: new StallTimer(stallMilliseconds), message})) {
		types.push(type);
		await delay(2 * stallMilliseconds);
	}

	t.deepEqual(types, ['head', 'head', 'broken']);
});

test('a consumer that returns early ends the outputs', async t => {
	let isEnded = false;
	const outputs = paced([0, 0, 0], () => {
		isEnded = true;
	});
	const reader = reportStalls(outputs, {stall: new StallTimer(stallMilliseconds), message});
	await reader.next();
	await reader.return();
	t.true(isEnded);
});
