import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {LatencyEstimator} from './latency-estimator.js';
import {ModelCascade} from './model-cascade.js';
import {type HeadTimeouts} from './send-attempt.js';

type HeadTimeoutValues = Omit<HeadTimeouts, 'hasSentData' | 'isReachable'>;

const clock = {monotonic: () => 0};
const route = testRoute({
	kind: 'streaming', targetLatency: 3000, sizes: ['small', 'large'] as ModelId[],
});

function cascadeAfter(latency: number | undefined, tokens = 0): ModelCascade {
	const models = new ModelCascade({latencies: new LatencyEstimator(clock), bounds: {minimumConfidence: 50}}, {route, choosesModel: true, tokens});
	if (latency !== undefined) {
		models.chooseLarger({confidence: 90, latency, age: latency});
	}

	return models;
}

test('the reachability check comes early, and the maximum is a multiple of the expected latency', t => {
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(undefined).headTimeouts, {checkAfter: 500, maximum: 3000, maximumOnReused: 1500}, 'no latency is known');
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(10).headTimeouts, {checkAfter: 500, maximum: 500, maximumOnReused: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(100).headTimeouts, {checkAfter: 500, maximum: 800, maximumOnReused: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(1000).headTimeouts, {checkAfter: 500, maximum: 8000, maximumOnReused: 4000});
});

test('a long prompt gets a longer timeout and counts as a higher load', t => {
	const latencies = new LatencyEstimator(clock);
	const createCascade = (tokens: number) => new ModelCascade({latencies, bounds: {minimumConfidence: 50}}, {route, choosesModel: true, tokens});
	createCascade(4000).chooseLarger({confidence: 90, latency: 500, age: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(createCascade(49_000).headTimeouts, {checkAfter: 500, maximum: 40_000, maximumOnReused: 20_000});
	t.deepEqual([0, 4000, 49_000].map(tokens => createCascade(tokens).load), [1, 5, 50]);
});

test('a long prompt escalates to the larger model just like a short one', t => {
	const largerFor = (tokens: number) => {
		const latencies = new LatencyEstimator(clock);
		latencies.record(`${route.id} large`, {milliseconds: 600, tokens: 4000});
		const models = new ModelCascade({latencies, bounds: {minimumConfidence: 50}}, {route, choosesModel: true, tokens});
		return models.chooseLarger({confidence: 40, latency: 100, age: 100});
	};

	t.deepEqual([400, 4000, 49_000].map(tokens => largerFor(tokens)), ['large', 'large', 'large'] as ModelId[]);
});
