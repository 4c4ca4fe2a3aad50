import {setTimeout as delay} from 'node:timers/promises';
import {type StalledDecision} from '@valehitch/routing';
import test from 'ava';
import {systemClock} from '../system-clock.js';
import {type AttemptOutput} from './attempt-output.js';
import {reportStalls, type ReportStallsOptions} from './report-stalls.js';
import {StallTimer} from './stall-timer.js';

const stallMilliseconds = 40;
const head: AttemptOutput = {type: 'head', head: {status: 200, headers: {}}};
const piece: AttemptOutput = {
	type: 'piece', piece: {
		offset: 0, length: 3, tokens: 1, payload: 'Tag',
	},
};
const broken: AttemptOutput = {type: 'broken', message: 'Cut'};
const resume: StalledDecision = {type: 'resume-elsewhere', reason: 'silent'};

function createOptions(review: (paused: number) => StalledDecision = () => resume): ReportStallsOptions {
	return {stall: new StallTimer(stallMilliseconds, {clock: systemClock}), review};
}

type PacedOptions = {readonly output?: AttemptOutput; readonly onEnd?: () => void};

/** Yields an output after each pause, in milliseconds. */
async function * paced(pauses: readonly number[], {output = piece, onEnd = () => undefined}: PacedOptions = {}): AsyncGenerator<AttemptOutput, void> {
	try {
		for (const [index, pause] of pauses.entries()) {
			await delay(pause);
			yield index === pauses.length - 1 ? broken : output;
		}
	} finally {
		onEnd();
	}
}

test('each stall is reported once, and later outputs are forwarded', async t => {
	const types: string[] = [];
	const pause = 4 * stallMilliseconds;
	for await (const {type} of reportStalls(paced([0, pause, pause, 0]), createOptions())) {
		types.push(type);
	}

	t.deepEqual(types, ['piece', 'silent', 'piece', 'silent', 'piece', 'broken']);
});

test('a slow consumer does not count as a stall', async t => {
	const types: string[] = [];
	for await (const {type} of reportStalls(paced([0, 0, 0]), createOptions())) {
		types.push(type);
		await delay(2 * stallMilliseconds);
	}

	t.deepEqual(types, ['piece', 'piece', 'broken']);
});

test('a consumer that returns early ends the outputs', async t => {
	let isEnded = false;
	const outputs = paced([0, 0, 0], {
		onEnd() {
			isEnded = true;
		},
	});
	const reader = reportStalls(outputs, createOptions());
	await reader.next();
	await reader.return();
	t.true(isEnded);
});

test('an answer that has not begun is not reported, also after its head', async t => {
	const types: string[] = [];
	for await (const {type} of reportStalls(paced([4 * stallMilliseconds, 4 * stallMilliseconds, 0], {output: head}), createOptions())) {
		types.push(type);
	}

	t.deepEqual(types, ['head', 'head', 'broken']);
});

test('a pause that is waited for is reviewed again until another server is asked', async t => {
	const pauses: number[] = [];
	const outputs: AttemptOutput[] = [];
	for await (const output of reportStalls(paced([0, 1000, 0]), createOptions(paused => {
		pauses.push(paused);
		return pauses.length < 3 ? {type: 'wait', reason: 'may-go-on'} : resume;
	}))) {
		outputs.push(output);
	}

	t.deepEqual(outputs.map(({type}) => type), ['piece', 'silent', 'piece', 'broken']);
	t.is(pauses.length, 3);
	t.deepEqual(pauses, pauses.toSorted((one, other) => one - other));
	t.like(outputs[1], {silentMilliseconds: Math.floor(pauses[2]!), details: {reason: 'silent'}});
});
