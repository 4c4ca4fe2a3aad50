import test from 'ava';
import {LatencyEstimator} from './latency-estimator.js';

test('a high latency decays without new samples, so that the model is tried again', t => {
	let now = 0;
	const latencies = new LatencyEstimator({monotonic: () => now});
	t.is(latencies.estimate('large', {tokens: 0, fallback: 500}), 500);
	latencies.record('large', {milliseconds: 100, tokens: 0});
	for (let answer = 0; answer < 60; answer++) {
		latencies.record('large', {milliseconds: 2100, tokens: 0});
	}

	t.true(latencies.estimate('large', {tokens: 0, fallback: 500}) > 1900);
	now = 2000;
	t.true(latencies.estimate('large', {tokens: 0, fallback: 500}) < 1200);
	now = 20_000;
	t.true(latencies.estimate('large', {tokens: 0, fallback: 500}) < 300);
});

test('the estimate is proportional to the length of the prompt', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	for (let answer = 0; answer < 100; answer++) {
		latencies.record('large', {milliseconds: 400, tokens: 7000});
	}

	t.is(Math.round(latencies.estimate('large', {tokens: 7000, fallback: 500})), 400);
	t.is(Math.round(latencies.estimate('large', {tokens: 39_000, fallback: 500})), 2000);
	t.is(Math.round(latencies.estimate('large', {tokens: 0, fallback: 500})), 50);
});

test('the calm latency is that of the prompt length without the wait of a burst', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	t.is(latencies.calm('large', {tokens: 0, fallback: 500}), 500);
	latencies.record('large', {milliseconds: 100, tokens: 1000});
	for (let answer = 0; answer < 60; answer++) {
		latencies.record('large', {milliseconds: 2000, tokens: 1000});
	}

	t.true(latencies.calm('large', {fallback: 500}) < 250);
	t.true(latencies.calm('large', {tokens: 3000, fallback: 500}) < 500);
	t.true(latencies.estimate('large', {fallback: 500}) > 1900);
});

test('the calm latency stays where it was while queues raise the estimate', t => {
	const latencies = new LatencyEstimator({monotonic: () => 0});
	t.is(latencies.calm('large', {tokens: 7000, fallback: 500}), 500);
	for (let answer = 0; answer < 50; answer++) {
		latencies.record('large', {milliseconds: 400, tokens: 7000});
	}

	for (let answer = 0; answer < 50; answer++) {
		latencies.record('large', {milliseconds: 2400, tokens: 7000});
	}

	t.true(latencies.estimate('large', {tokens: 7000, fallback: 500}) > 2000);
	t.true(latencies.calm('large', {tokens: 7000, fallback: 500}) < 600);
	t.true(latencies.calm('large', {tokens: 39_000, fallback: 500}) > 1900, 'it is proportional to the length of the prompt');
	t.is(latencies.calm('large', {fallback: 500}), latencies.calm('large', {tokens: 7000, fallback: 500}));
});
