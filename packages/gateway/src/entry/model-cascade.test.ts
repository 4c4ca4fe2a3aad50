import {type ModelId, type ServiceId, toId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {EscalationDemand, type EscalationDemandOptions} from './escalation-demand.js';
import {LatencyEstimator} from './latency-estimator.js';
import {ModelCascade, type ModelCascadeContext} from './model-cascade.js';

const clock = {monotonic: () => 0};
const route = testRoute({
	kind: 'streaming', targetLatency: 3000, sizes: ['small', 'large'] as ModelId[],
});

const service = toId<ServiceId>('labels');

function contextWith(latencies = new LatencyEstimator(clock), contentionAt: EscalationDemandOptions['contentionAt'] = () => ({wait: 0, target: 3000})): ModelCascadeContext {
	return {
		latencies, bounds: {minimumConfidence: 50}, escalations: new EscalationDemand({contentionAt}), random: () => 0.5,
	};
}

function cascadeAfter(latency: number | undefined, tokens = 0): ModelCascade {
	const models = new ModelCascade(contextWith(), {
		route, choosesModel: true, tokens, service,
	});
	if (latency !== undefined) {
		models.chooseLarger({confidence: 90, latency, age: latency});
	}

	return models;
}

test('the expected time to the first event is that of its answers, and a share of the target without any', t => {
	t.deepEqual([undefined, 10, 100, 1000].map(latency => cascadeAfter(latency).expected), [375, 10, 100, 1000]);
});

test('a long prompt has a longer expected time and counts as a higher load', t => {
	const latencies = new LatencyEstimator(clock);
	const createCascade = (tokens: number) => new ModelCascade(contextWith(latencies), {
		route, choosesModel: true, tokens, service,
	});
	createCascade(4000).chooseLarger({confidence: 90, latency: 500, age: 500});
	t.is(createCascade(49_000).expected, 5000);
	t.deepEqual([0, 4000, 49_000].map(tokens => createCascade(tokens).load), [1, 5, 50]);
});

test('a long prompt escalates to the larger model just like a short one', t => {
	const largerFor = (tokens: number) => {
		const latencies = new LatencyEstimator(clock);
		latencies.record(`${route.id} large`, {milliseconds: 600, tokens: 4000});
		const models = new ModelCascade(contextWith(latencies), {
			route, choosesModel: true, tokens, service,
		});
		return models.chooseLarger({confidence: 40, latency: 100, age: 100});
	};

	t.deepEqual([400, 4000, 49_000].map(tokens => largerFor(tokens)), ['large', 'large', 'large'] as ModelId[]);
});

test('a request of a route whose answers mostly escalate begins with the largest model', t => {
	const context = contextWith();
	const createCascade = () => new ModelCascade(context, {
		route, choosesModel: true, tokens: 1000, service,
	});
	for (let answer = 0; answer < 100; answer++) {
		t.is(createCascade().firstReason, 'few-escalate');
		createCascade().chooseLarger({confidence: 10, latency: 60, age: 60});
	}

	t.is(createCascade().current, 'small' as ModelId, 'nothing is known of the largest model');
	const larger = createCascade();
	larger.escalateTo('large' as ModelId);
	larger.chooseLarger({confidence: 90, latency: 100, age: 160});
	t.is(createCascade().current, 'large' as ModelId);
	t.is(createCascade().chooseLarger({confidence: 10, latency: 100, age: 100}), undefined);
	const named = new ModelCascade(context, {
		route, choosesModel: false, tokens: 1000, service,
	});
	t.is(named.current, undefined, 'the caller names its model');
	t.is(named.firstReason, undefined);
});

test('a request begins with the smallest model if only the prices of the models speak for it', t => {
	const context = contextWith();
	const offered = [{id: 'small' as ModelId, cost: 0.01}, {id: 'large' as ModelId, cost: 0.3}];
	const createCascade = () => new ModelCascade(context, {
		route, choosesModel: true, tokens: 1000, service, offered,
	});
	context.latencies.record(`${route.id} large`, {milliseconds: 100, tokens: 1000});
	for (let answer = 0; answer < 100; answer++) {
		createCascade().chooseLarger({confidence: 10, latency: 90, age: 90});
	}

	t.is(createCascade().current, 'small' as ModelId);
});

test('under contention, a long prompt of low priority gives way before a short urgent one', t => {
	const latencies = new LatencyEstimator(clock);
	latencies.record(`${route.id} large`, {milliseconds: 200, tokens: 4000});
	const context = contextWith(latencies, () => ({wait: 1500, target: 3000}));
	context.escalations.recordWanted(200);
	const largerFor = (tokens: number, priority: number) => new ModelCascade(context, {
		route, choosesModel: true, tokens, service, priority,
	}).chooseLarger({confidence: 30, latency: 100, age: 100});
	t.is(largerFor(1000, 0), 'large' as ModelId);
	t.is(largerFor(4000, 0), 'large' as ModelId);
	t.is(largerFor(4000, 2), undefined);
	t.is(largerFor(12_000, 0), undefined);
});

test('the contention of the pool is looked up for an answer only if it may escalate', t => {
	let lookUps = 0;
	const context = contextWith(undefined, () => {
		lookUps++;
		return {wait: 0, target: 3000};
	});
	const single = testRoute({kind: 'streaming', targetLatency: 3000, sizes: ['small'] as ModelId[]});
	const lookUpsFor = (sizedRoute: typeof route, confidence: number | undefined): number => {
		const models = new ModelCascade(context, {
			route: sizedRoute, choosesModel: true, tokens: 1000, service,
		});
		lookUps = 0;
		models.chooseLarger({confidence, latency: 100, age: 100});
		return lookUps;
	};

	t.is(lookUpsFor(route, 50), 0);
	t.is(lookUpsFor(route, undefined), 0);
	t.is(lookUpsFor(single, 10), 0);
	t.is(lookUpsFor(route, 49), 1);
});

test('routes with one model do not count for the prompts that want the largest model', t => {
	const context = contextWith();
	const single = testRoute({kind: 'streaming', targetLatency: 3000, sizes: ['small'] as ModelId[]});
	const answer = (sizedRoute: typeof route, latency: number): void => {
		new ModelCascade(context, {
			route: sizedRoute, choosesModel: true, tokens: 1000, service,
		}).chooseLarger({confidence: 10, latency, age: latency});
	};

	answer(single, 10);
	t.is(context.escalations.relativeTo(500), 1);
	answer(route, 10);
	t.not(context.escalations.relativeTo(500), 1);
});
