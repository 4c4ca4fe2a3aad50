import {type ServerId, toId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {OutlierEjection} from './outlier-ejection.js';

const seed = 20_261_202;
const one = toId<ServerId>('engine-1');

function countEjected(ejection: OutlierEjection, now: number): number {
	return Array.from({length: 10}, (_, index) => toId<ServerId>(`engine-${index}`)).filter(server => ejection.isEjected(server, now)).length;
}

function failUntilEjected(ejection: OutlierEjection, now: number): number {
	for (let failures = 1; failures < 20; failures++) {
		if (ejection.record(one, {failed: true, now, servers: 10})) {
			return failures;
		}
	}

	return 0;
}

test('never ejects more than the maximum share of servers', t => {
	const outcome = fc.record({server: fc.nat(9), failed: fc.boolean(), elapsed: fc.nat(20)});
	fc.assert(fc.property(fc.array(outcome, {minLength: 200, maxLength: 400}), outcomes => {
		const ejection = new OutlierEjection();
		let now = 0;
		for (const {server, failed, elapsed} of outcomes) {
			now += elapsed;
			ejection.record(toId<ServerId>(`engine-${server}`), {failed: failed || server < 6, now, servers: 10});
			t.true(countEjected(ejection, now) <= 3);
		}
	}), {seed, numRuns: 200, includeErrorInReport: true});
});

test('ejects after five consecutive failures, and doubles the duration each time', t => {
	const ejection = new OutlierEjection();
	t.is(failUntilEjected(ejection, 0), 5);
	t.true(ejection.isEjected(one, 4999));
	t.false(ejection.isEjected(one, 5000));
	t.is(failUntilEjected(ejection, 5000), 1);
	t.true(ejection.isEjected(one, 14_999));
	t.false(ejection.isEjected(one, 15_000));
});

test('forgets a recovered server and its earlier ejections', t => {
	const ejection = new OutlierEjection();
	failUntilEjected(ejection, 0);
	for (let answers = 0; answers < 30; answers++) {
		ejection.record(one, {failed: false, now: 6000, servers: 10});
	}

	t.is(ejection.size, 0);
	t.is(failUntilEjected(ejection, 7000), 5);
	t.false(ejection.isEjected(one, 12_000));
});
