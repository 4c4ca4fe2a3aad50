import test from 'ava';
import {ArrivalWatch} from './arrival-watch.js';

/** Creates clocks that the test advances, and a watch that uses them. */
function createWatch() {
	const time = {wall: 1_700_000_000_000, monotonic: 500};
	const watch = new ArrivalWatch({now: () => new Date(time.wall), monotonic: () => time.monotonic});
	const arriveAfter = (milliseconds: number): void => {
		time.wall += milliseconds;
		time.monotonic += milliseconds;
		watch.record();
	};

	return {time, watch, arriveAfter};
}

test('data that arrives steadily is recent', t => {
	const {watch, arriveAfter} = createWatch();
	for (let arrival = 0; arrival < 20; arrival++) {
		arriveAfter(400);
		t.false(watch.mayBeLate());
	}
});

test('data that is read in a row after a pause may have been sent before it', t => {
	const {watch, arriveAfter} = createWatch();
	arriveAfter(3400);
	t.true(watch.mayBeLate());
	arriveAfter(1);
	t.true(watch.mayBeLate());
	for (let arrival = 0; arrival < 10; arrival++) {
		arriveAfter(100);
	}

	t.false(watch.mayBeLate());
});

test('a pause since the latest data, and one in which the monotonic clock stood still, count too', t => {
	const {time, watch, arriveAfter} = createWatch();
	arriveAfter(10);
	time.monotonic += 600;
	t.true(watch.mayBeLate());
	const suspended = createWatch();
	suspended.arriveAfter(10);
	suspended.time.wall += 3400;
	t.true(suspended.watch.mayBeLate());
	suspended.arriveAfter(1);
	t.true(suspended.watch.mayBeLate());
});
