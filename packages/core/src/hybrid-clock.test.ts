import test from 'ava';
import {compareTimestamps, HybridClock} from './hybrid-clock.js';

function createClock(times: number[]): HybridClock {
	return new HybridClock({now: () => new Date(times.shift() ?? 0), monotonic: () => 0});
}

test('timestamps increase while the wall clock stops or is set back', t => {
	const clock = createClock([5, 5, 3]);
	const timestamps = [clock.next(), clock.next(), clock.next()];
	t.deepEqual(timestamps, [{wall: 5, counter: 0}, {wall: 5, counter: 1}, {wall: 5, counter: 2}]);
});

test('a timestamp is later than every observed timestamp', t => {
	const clock = createClock([10, 10]);
	const observed = {wall: 500, counter: 7};
	clock.observe(observed);
	t.true(compareTimestamps(clock.next(), observed) > 0);
	clock.observe({wall: 1, counter: 0});
	t.true(compareTimestamps(clock.next(), observed) > 0);
});
