import test from 'ava';
import {compareTimestamps, HybridClock} from './hybrid-clock.js';

function clockAt(times: number[]): HybridClock {
	return new HybridClock({now: () => new Date(times.shift() ?? 0), monotonic: () => 0});
}

test('stamps rise though the wall clock stands still or goes back', t => {
	const stamps = clockAt([5, 5, 3]);
	const made = [stamps.next(), stamps.next(), stamps.next()];
	t.deepEqual(made, [{wall: 5, counter: 0}, {wall: 5, counter: 1}, {wall: 5, counter: 2}]);
});

test('a stamp is later than every stamp that was observed', t => {
	const stamps = clockAt([10, 10]);
	const observed = {wall: 500, counter: 7};
	stamps.observe(observed);
	t.true(compareTimestamps(stamps.next(), observed) > 0);
	stamps.observe({wall: 1, counter: 0});
	t.true(compareTimestamps(stamps.next(), observed) > 0);
});
