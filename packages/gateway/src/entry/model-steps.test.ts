import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {LatencyBook} from './latency-book.js';
import {ModelSteps} from './model-steps.js';

const clock = {monotonic: () => 0};
const route = testRoute({
	kind: 'streaming', targetLatency: 3000, sizes: ['small', 'large'] as ModelId[],
});

test('a silent server of a fast model is given up after some times its usual time, a slow one after most of the target', t => {
	const latencies = new LatencyBook(clock);
	const models = new ModelSteps({latencies, bounds: {leastConfidence: 50}}, {route, choosesModel: true});
	t.deepEqual(models.silence, {quiet: 2250, longest: 2250}, 'nothing is known of its times');
	models.larger({confidence: 90, latency: 100, age: 100});
	t.deepEqual(models.silence, {quiet: 800, longest: 2250});
	const quick = new LatencyBook(clock);
	const quickModels = new ModelSteps({latencies: quick, bounds: {leastConfidence: 50}}, {route, choosesModel: true});
	quickModels.larger({confidence: 90, latency: 10, age: 10});
	t.deepEqual(quickModels.silence, {quiet: 500, longest: 2250});
	const slow = new LatencyBook(clock);
	const slowModels = new ModelSteps({latencies: slow, bounds: {leastConfidence: 50}}, {route, choosesModel: true});
	slowModels.larger({confidence: 90, latency: 1000, age: 1000});
	t.deepEqual(slowModels.silence, {quiet: 4000, longest: 4000});
});
