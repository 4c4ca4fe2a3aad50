import {type ServerId, toId} from '@valehitch/core';
import test from 'ava';
import {type ServerSpeed, ServerSpeedEstimator} from './server-speed-estimator.js';

const server = toId<ServerId>('engine-1');
const stepMilliseconds = 100;

/** Tells a slowness for some time, with the small changes that new samples make, and returns the last speed. */
function tell(speeds: ServerSpeedEstimator, {slowness, from, to}: {readonly slowness: number; readonly from: number; readonly to: number}): ServerSpeed {
	let result: ServerSpeed | undefined;
	for (let now = from; now <= to; now += stepMilliseconds) {
		result = speeds.speedOf(server, {slowness: slowness * (1 + (0.001 * (now / stepMilliseconds % 2))), now});
	}

	return result!;
}

test('a server whose slowness was never told has no speed, whatever this instance sees', t => {
	const speeds = new ServerSpeedEstimator();
	speeds.record(server, {observed: 900, expected: 100, now: 0});
	t.is(speeds.speedOf(server, {slowness: undefined, now: 0}), undefined);
	t.is(speeds.size, 0);
});

test('a server at a third of its speed counts a third within a second, and rises more slowly', t => {
	const speeds = new ServerSpeedEstimator();
	t.is(tell(speeds, {slowness: 1, from: 0, to: 2000}).homeSpeed, 1);
	const slow = tell(speeds, {slowness: 3, from: 2100, to: 3100});
	t.true(slow.speed < 0.4, `${slow.speed}`);
	const rising = tell(speeds, {slowness: 1, from: 3200, to: 4200});
	t.true(rising.speed < 0.8, `${rising.speed}`);
	t.true(tell(speeds, {slowness: 1, from: 4300, to: 10_000}).speed > 0.95);
});

test('a moment of slowness does not move the homes of prompts, a lasting one does', t => {
	const speeds = new ServerSpeedEstimator();
	tell(speeds, {slowness: 1, from: 0, to: 10_000});
	t.is(tell(speeds, {slowness: 3, from: 10_100, to: 11_600}).homeSpeed, 1);
	t.true(tell(speeds, {slowness: 3, from: 11_700, to: 40_000}).homeSpeed < 0.4);
});

test('the home speed of a server between two steps does not alternate', t => {
	const speeds = new ServerSpeedEstimator();
	const homeSpeeds = new Set<number>();
	const betweenSteps = 2 ** -0.25;
	for (let now = 0; now < 120_000; now += stepMilliseconds) {
		const noise = 1 + (0.1 * Math.sin(now / 3000));
		homeSpeeds.add(speeds.speedOf(server, {slowness: noise / betweenSteps, now})!.homeSpeed);
	}

	t.is(homeSpeeds.size, 1);
});

test('the speed of a server that nobody uses returns to the mean', t => {
	const speeds = new ServerSpeedEstimator();
	speeds.speedOf(server, {slowness: 4, now: 0});
	let last = 0;
	for (let now = 0; now <= 20_000; now += stepMilliseconds) {
		last = speeds.speedOf(server, {slowness: 4, now})!.speed;
	}

	t.true(last > 0.9, `${last}`);
});

test('a speed that is no longer told returns to the mean and is then dropped', t => {
	const speeds = new ServerSpeedEstimator();
	speeds.speedOf(server, {slowness: 2, now: 0});
	t.true(speeds.speedOf(server, {slowness: undefined, now: 1000})!.speed < 0.6);
	for (let now = 1000; now <= 40_000; now += stepMilliseconds) {
		speeds.speedOf(server, {slowness: undefined, now});
	}

	t.is(speeds.speedOf(server, {slowness: undefined, now: 40_100}), undefined);
	t.is(speeds.size, 0);
});

test('speeds are bounded, so that no server is left without requests', t => {
	const speeds = new ServerSpeedEstimator();
	t.is(speeds.speedOf(server, {slowness: 1000, now: 0})!.speed, 0.25);
	speeds.forget(server);
	t.is(speeds.speedOf(server, {slowness: 0.001, now: 0})!.speed, 2);
});

test('a pool that is slow as a whole has no slow server', t => {
	const speeds = new ServerSpeedEstimator();
	t.deepEqual(speeds.speedOf(server, {slowness: 6, meanSlowness: 6, now: 0}), {speed: 1, homeSpeed: 1});
});

test('late answers to this instance count before the others are told, and one answer that is half a second late costs little', t => {
	const speeds = new ServerSpeedEstimator();
	tell(speeds, {slowness: 1, from: 0, to: 5000});
	speeds.record(server, {observed: 600, expected: 100, now: 5000});
	const once = tell(speeds, {slowness: 1, from: 5100, to: 5400}).speed;
	t.true(once < 1 && once > 0.75, `${once}`);
	for (let now = 5400; now < 6400; now += stepMilliseconds) {
		speeds.record(server, {observed: 3000, expected: 1000, now});
		tell(speeds, {slowness: 1, from: now, to: now});
	}

	const late = tell(speeds, {slowness: 1, from: 6400, to: 6400}).speed;
	t.true(late < 0.6, `${late}`);
});

test('samples that cannot be right are ignored', t => {
	const speeds = new ServerSpeedEstimator();
	tell(speeds, {slowness: 1, from: 0, to: 1000});
	for (const sample of [{observed: 500, expected: 0}, {observed: Number.NaN, expected: 10}, {observed: -1, expected: 10}]) {
		speeds.record(server, {...sample, now: 1000});
	}

	t.true(tell(speeds, {slowness: 1, from: 1100, to: 1300}).speed > 0.99);
});

test('a restarted server starts without the speed of its earlier process', t => {
	const speeds = new ServerSpeedEstimator();
	tell(speeds, {slowness: 3, from: 0, to: 20_000});
	speeds.forget(server);
	t.is(speeds.speedOf(server, {slowness: undefined, now: 20_100}), undefined);
	t.deepEqual(speeds.speedOf(server, {slowness: 1, now: 20_200}), {speed: 1, homeSpeed: 1});
});
