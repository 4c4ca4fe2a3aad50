import {type ModelId, toId, type VersionId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {soundSilenceMilliseconds} from './decide-stalled.js';
import {hedgeDelays} from './hedge-policy.js';
import {StageHistory} from './stage-history.js';

const seed = 20_261_202;
const version = {model: toId<ModelId>('tag-small'), version: toId<VersionId>('1.0')};

test('estimates quantiles within 5 %', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 500_000}), {minLength: 30, maxLength: 1000, size: 'max'}), fc.constantFrom(0.5, 0.9, 0.95, 1), (times, share) => {
		const history = new StageHistory();
		for (const milliseconds of times) {
			history.record('v', {stage: 'prefill', milliseconds});
		}

		const exact = times.toSorted((one, other) => one - other)[Math.ceil(share * times.length) - 1]!;
		const estimate = history.quantile('v', {stage: 'prefill', quantile: share})!;
		t.true(Math.abs(estimate - exact) <= 0.05 * exact, `Estimated ${estimate}, expected ${exact}`);
	}), {seed, numRuns: 300, includeErrorInReport: true});
});

test('returns no quantile without enough history, and adapts to a change', t => {
	const history = new StageHistory();
	const record = (count: number, milliseconds: number) => {
		for (let index = 0; index < count; index++) {
			history.record('v', {stage: 'decode', milliseconds});
		}
	};

	record(29, 100);
	t.is(history.quantile('v', {stage: 'decode', quantile: 0.5}), undefined);
	record(5000, 100);
	record(2500, 400);
	t.true(Math.abs(history.quantile('v', {stage: 'decode', quantile: 0.5})! - 400) <= 20);
});

test('keeps a bounded number of sketches', t => {
	const history = new StageHistory({maximumKeys: 5});
	for (let key = 0; key < 20; key++) {
		history.record(String(key), {stage: 'whole', milliseconds: 1});
	}

	t.is(history.size, 5);
});

test('an answer that has begun is not hedged while its server may only be silent for a moment', t => {
	const history = new StageHistory();
	for (let index = 0; index < 100; index++) {
		history.record('tag-small@1.0', {stage: 'prefill', milliseconds: 30});
		history.record('tag-small@1.0', {stage: 'decode', milliseconds: 10});
	}

	t.is(hedgeDelays({...version, streamed: true}, {history})?.decodeMilliseconds, soundSilenceMilliseconds);
});

test('a hedge is due after the p95 of the stage', t => {
	const history = new StageHistory();
	t.is(hedgeDelays({...version, streamed: true}, {history}), undefined);
	for (let index = 1; index <= 100; index++) {
		history.record('tag-small@1.0', {stage: 'prefill', milliseconds: 10 * index});
		history.record('tag-small@1.0', {stage: 'decode', milliseconds: 1500});
	}

	const delays = hedgeDelays({...version, streamed: true}, {history})!;
	t.true(Math.abs(delays.prefillMilliseconds - 950) <= 48);
	t.true(Math.abs(delays.decodeMilliseconds - 3000) <= 150);
	t.is(hedgeDelays({...version, streamed: false}, {history}), undefined, 'answers that are not streamed have a separate history');
});
