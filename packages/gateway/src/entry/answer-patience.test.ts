import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {answerPatience} from './answer-patience.js';

const now = 0;
const unknown = {quantile: () => undefined};
const stream = testRoute({kind: 'streaming', targetLatency: 3000});
const plain = testRoute({kind: 'safe', targetLatency: 200});

test('without a history, a stream is late by multiples of its expected time, and its server is checked early', t => {
	const patienceOf = (expected: number) => {
		const {checkAfter, lateAfter, patience, patienceOnReused} = answerPatience(stream, {
			model: undefined, expected, times: unknown, now,
		});
		return {
			checkAfter, lateAfter, patience, patienceOnReused,
		};
	};

	t.deepEqual([375, 10, 100, 1000].map(expected => patienceOf(expected)), [
		{
			checkAfter: 500, lateAfter: 1500, patience: 3000, patienceOnReused: 1500,
		},
		{
			checkAfter: 500, lateAfter: 500, patience: 500, patienceOnReused: 500,
		},
		{
			checkAfter: 500, lateAfter: 500, patience: 800, patienceOnReused: 500,
		},
		{
			checkAfter: 500, lateAfter: 4000, patience: 8000, patienceOnReused: 4000,
		},
	]);
});

test('a stream of a route whose times vary widely is late only beyond most of them', t => {
	const {lateAfter, patience, answerTime} = answerPatience(stream, {
		model: undefined, expected: 200, times: {quantile: () => 12}, now,
	});
	t.deepEqual({lateAfter, patience, answerTime}, {lateAfter: 2400, patience: 2400, answerTime: 2400});
});

test('a plain answer is late beyond most of its route, and by any measure at its target', t => {
	const patienceOf = (quantile: number | undefined) => {
		const {lateAfter, patience, answerTime} = answerPatience(plain, {
			model: undefined, expected: 0, times: {quantile: () => quantile}, now,
		});
		return {lateAfter, patience, answerTime};
	};

	t.deepEqual(patienceOf(150), {lateAfter: 150, patience: 200, answerTime: 150});
	t.deepEqual(patienceOf(30), {lateAfter: 100, patience: 200, answerTime: 100});
	t.deepEqual(patienceOf(2500), {lateAfter: 2500, patience: 2500, answerTime: 2500});
	t.deepEqual(patienceOf(undefined), {lateAfter: 200, patience: 200, answerTime: 100});
});

test('the answer times of two models are kept apart', t => {
	const keyOf = (model: string) => answerPatience(stream, {
		model: model as never, expected: 100, times: unknown, now,
	}).key;
	t.not(keyOf('small'), keyOf('large'));
});

test('another send is expected to take as long as most requests, not as long as the long ones', t => {
	const times = {quantile: (_key: string, {share}: {readonly share: number}) => share > 0.9 ? 4500 : 150};
	const answerTimeOf = (route: typeof plain) => answerPatience(route, {
		model: undefined, expected: 2, times, now,
	}).answerTime;
	t.deepEqual([plain, stream].map(route => answerTimeOf(route)), [150, 300]);
});
