import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {LatencyBook} from './latency-book.js';
import {ModelSteps} from './model-steps.js';
import {type SilenceBounds} from './send-attempt.js';

type HeadTimeoutValues = Omit<SilenceBounds, 'isHeard' | 'isReached'>;

const clock = {monotonic: () => 0};
const route = testRoute({
	kind: 'streaming', targetLatency: 3000, sizes: ['small', 'large'] as ModelId[],
});

function cascadeAfter(latency: number | undefined, tokens = 0): ModelSteps {
	const models = new ModelSteps({latencies: new LatencyBook(clock), bounds: {leastConfidence: 50}}, {route, choosesModel: true, tokens});
	if (latency !== undefined) {
		models.larger({confidence: 90, latency, age: latency});
	}

	return models;
}

test('the reachability check comes early, and the maximum is a multiple of the expected latency', t => {
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(undefined).silence, {quiet: 500, longest: 3000, longestKept: 1500}, 'no latency is known');
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(10).silence, {quiet: 500, longest: 500, longestKept: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(100).silence, {quiet: 500, longest: 800, longestKept: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(cascadeAfter(1000).silence, {quiet: 500, longest: 8000, longestKept: 4000});
});

test('a long prompt gets a longer timeout and counts as a higher load', t => {
	const latencies = new LatencyBook(clock);
	const createCascade = (tokens: number) => new ModelSteps({latencies, bounds: {leastConfidence: 50}}, {route, choosesModel: true, tokens});
	createCascade(4000).larger({confidence: 90, latency: 500, age: 500});
	t.deepEqual<HeadTimeoutValues, HeadTimeoutValues>(createCascade(49_000).silence, {quiet: 500, longest: 40_000, longestKept: 20_000});
	t.deepEqual([0, 4000, 49_000].map(tokens => createCascade(tokens).work), [1, 5, 50]);
});

test('a long prompt escalates to the larger model just like a short one', t => {
	const largerFor = (tokens: number) => {
		const latencies = new LatencyBook(clock);
		latencies.note(`${route.id} large`, {milliseconds: 600, tokens: 4000});
		const models = new ModelSteps({latencies, bounds: {leastConfidence: 50}}, {route, choosesModel: true, tokens});
		return models.larger({confidence: 40, latency: 100, age: 100});
	};

	t.deepEqual([400, 4000, 49_000].map(tokens => largerFor(tokens)), ['large', 'large', 'large'] as ModelId[]);
});
