import {type RandomSource} from '@valehitch/core';
import test from 'ava';
import {seededRandom} from '../entry/_test-random.js';
import {type ComparedWaits, compareWaits} from './compare-waits.js';
import {
	emptyWaitTable, recordWait, waitIntervalOf, type WaitTable,
} from './wait-table.js';

/** The ends of the intervals are powers of the square root of two. */
const twiceAsLong = 2;

type Times = (random: RandomSource) => number;

const lognormal = (scatter: number): Times => random => 300 * Math.exp(scatter * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()));
const heavyTail: Times = random => 150 * ((1 - random()) ** (-1 / 1.3));

/** The waits of sends that were made at random times of the last milliseconds. */
function waitsOf(random: RandomSource, {times, sends, lasting}: {readonly times: Times; readonly sends: number; readonly lasting: number}): WaitTable {
	let table = emptyWaitTable;
	for (let send = 0; send < sends; send++) {
		const age = lasting * random();
		const time = times(random);
		table = recordWait(table, {first: 0, end: waitIntervalOf(Math.min(age, time)), isAnswered: time <= age});
	}

	return table;
}

/** Returns by how many standard errors fewer answers have begun than expected, in each of many draws. */
function missingAnswers(times: Times, {factor, sends, lasting}: {readonly factor: number; readonly sends: number; readonly lasting: number}): readonly number[] {
	return Array.from({length: 200}, (_, seed) => {
		const random = seededRandom((seed + 1) * 1_000_003);
		const waits: ComparedWaits = {
			candidate: waitsOf(random, {times: source => factor * times(source), sends, lasting}),
			baseline: waitsOf(random, {times, sends: 500, lasting: 10_000}),
		};
		const {observed, expected, variance} = compareWaits([waits], twiceAsLong);
		return (expected - observed) / Math.sqrt(Math.max(1, variance));
	});
}

for (const [name, times] of [['lognormal', lognormal(0.7)], ['widely scattered', lognormal(1.3)], ['heavy-tailed', heavyTail]] as const) {
	test(`versions with ${name} times that are not slower by the factor never miss answers significantly, with few and many sends`, t => {
		for (const sends of [20, 60, 400]) {
			for (const factor of [1, 2]) {
				const missing = missingAnswers(times, {factor, sends, lasting: 2000});
				t.true(missing.every(errors => errors <= 4), `${Math.max(...missing)} with ${sends} sends, factor ${factor}`);
			}
		}
	});

	test(`versions with ${name} times that are eight times as slow miss answers while most of their sends still wait`, t => {
		const missing = missingAnswers(times, {factor: 8, sends: 400, lasting: 2000});
		t.true(missing.every(errors => errors > 4), `${Math.min(...missing)}`);
	});
}

test('routes and models without a baseline are no evidence', t => {
	const candidate = recordWait(emptyWaitTable, {first: 0, end: 20, isAnswered: false});
	t.deepEqual(compareWaits([{candidate, baseline: emptyWaitTable}], twiceAsLong), {observed: 0, expected: 0, variance: 0});
});
