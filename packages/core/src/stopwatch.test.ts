import test from 'ava';
import {Stopwatch} from './stopwatch.js';

test('the elapsed time includes a suspension in which the monotonic clock stands still', t => {
	const time = {wall: 1_700_000_000_000, monotonic: 500};
	const stopwatch = new Stopwatch({now: () => new Date(time.wall), monotonic: () => time.monotonic});
	time.monotonic += 70;
	t.is(stopwatch.elapsed(), 70);
	time.wall += 3400;
	t.is(stopwatch.elapsed(), 3400);
	stopwatch.restart();
	t.is(stopwatch.elapsed(), 0);
	time.wall -= 3_600_000;
	time.monotonic += 10;
	t.is(stopwatch.elapsed(), 10);
});
