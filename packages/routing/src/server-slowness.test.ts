import test from 'ava';
import {serverSlowness} from './server-slowness.js';

test('a server is as slow as it answers against the pool, whatever the load of the pool', t => {
	for (const load of [1, 3]) {
		const pool = {observed: load * 400_000, expected: 400_000};
		t.true(Math.abs(serverSlowness({observed: load * 200_000, expected: 100_000}, pool) - 2) < 0.02);
		t.true(Math.abs(serverSlowness({observed: load * 50_000, expected: 100_000}, pool) - 0.5) < 0.02);
		t.is(serverSlowness({observed: load * 100_000, expected: 100_000}, pool), 1);
	}
});

test('one late answer does not make a server slow, and nothing is known without answers', t => {
	const pool = {observed: 400_000, expected: 400_000};
	t.true(serverSlowness({observed: 500, expected: 100}, pool) < 1.5);
	t.is(serverSlowness({observed: 0, expected: 0}, pool), 1);
	t.is(serverSlowness({observed: 500, expected: 100}, {observed: 0, expected: 0}), 1);
});

test('the result is bounded', t => {
	const pool = {observed: 1e6, expected: 1e6};
	t.is(serverSlowness({observed: 1e9, expected: 1e6}, pool), 8);
	t.is(serverSlowness({observed: 0, expected: 1e6}, pool), 0.25);
});

test('a server of speed 0.7 counts as 1.62 times as slow as the mean after some twenty answers', t => {
	const meanSpeed = (0.7 + 1 + 1.7) / 3;
	const pool = {observed: 40_000, expected: 40_000};
	const slowness = serverSlowness({observed: 4000 * meanSpeed / 0.7, expected: 4000}, pool);
	t.true(Math.abs(slowness - 1.62) < 0.05, `${slowness}`);
});

test('sums that are no numbers tell nothing', t => {
	const pool = {observed: 40_000, expected: 40_000};
	t.is(serverSlowness({observed: Number.NaN, expected: 1000}, pool), 1);
	t.is(serverSlowness({observed: 1000, expected: Number.NaN}, pool), 1);
	t.is(serverSlowness({observed: Number.POSITIVE_INFINITY, expected: 1000}, pool), 1);
	t.is(serverSlowness({observed: 1000, expected: Number.NaN}, {observed: Number.NaN, expected: 1}), 1);
});
