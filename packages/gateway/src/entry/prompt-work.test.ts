import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {LatencyEstimator} from './latency-estimator.js';
import {promptWork} from './prompt-work.js';

const route = testRoute({targetLatency: 2000});
const model = 'large' as ModelId;

test('the work of a prompt is proportional to its length', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	t.is(promptWork(latencies, {route, model, tokens: 400}), 200, 'a tenth of the target without samples');
	latencies.record(`${route.id} ${model}`, {milliseconds: 100, tokens: 1000});
	t.is(promptWork(latencies, {route, model, tokens: 1000}), 100);
	t.is(promptWork(latencies, {route, model, tokens: 5000}), 300);
});

test('a length that is absurd or wrong by a factor of 100 has a bounded effect', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	latencies.record(`${route.id} ${model}`, {milliseconds: 100, tokens: 1000});
	t.is(promptWork(latencies, {route, model, tokens: 100_000}), 1000);
	t.is(promptWork(latencies, {route, model, tokens: Number.POSITIVE_INFINITY}), 1000);
	t.is(promptWork(latencies, {route, model, tokens: -5000}), 100, 'the mean');
	t.is(promptWork(latencies, {route, model, tokens: Number.NaN}), 100);
	t.is(promptWork(latencies, {route, model, tokens: 0}), 50, 'the part that is independent of the length');
});

test('the waits of a busy pool do not raise the work of a prompt', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	for (const milliseconds of [100, 1000, 1000, 1000]) {
		latencies.record(`${route.id} ${model}`, {milliseconds, tokens: 1000});
	}

	const work = promptWork(latencies, {route, model, tokens: 1000});
	t.true(Math.abs(work - 100) < 5, `${work}`);
});
