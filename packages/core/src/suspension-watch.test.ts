import test from 'ava';
import {SuspensionWatch} from './suspension-watch.js';

/** Clocks that are set by hand. */
function setClocks() {
	const time = {ofDay: 1_700_000_000_000, monotonic: 500};
	const watch = new SuspensionWatch({now: () => new Date(time.ofDay), monotonic: () => time.monotonic});
	const pass = (milliseconds: number): void => {
		time.ofDay += milliseconds;
		time.monotonic += milliseconds;
	};

	return {time, watch, pass};
}

test('a machine that runs was never suspended, also where its time of day drifts', t => {
	const {time, watch, pass} = setClocks();
	for (let look = 0; look < 100; look++) {
		pass(50);
		time.ofDay += 5;
		t.is(watch.lastWake(), Number.NEGATIVE_INFINITY);
	}
});

test('the first look after a suspension tells of it, and later ones of the same time', t => {
	const {time, watch, pass} = setClocks();
	time.ofDay += 4000;
	t.is(watch.lastWake(), 500);
	pass(70);
	t.is(watch.lastWake(), 500);
	time.ofDay += 30;
	t.is(watch.lastWake(), 570);
});

test('a time of day that is set back is no suspension, and the next one is still told', t => {
	const {time, watch} = setClocks();
	time.ofDay -= 3_600_000;
	t.is(watch.lastWake(), Number.NEGATIVE_INFINITY);
	time.ofDay += 4000;
	t.is(watch.lastWake(), 500);
});

test('a process that is held up between the readings of its two clocks was not suspended', t => {
	let monotonic = 0;
	let holdUp = 0;
	const watch = new SuspensionWatch({
		monotonic: () => monotonic,
		now() {
			const time = new Date(1_700_000_000_000 + monotonic);
			monotonic += holdUp;
			holdUp = 0;
			return time;
		},
	});
	for (let look = 0; look < 10; look++) {
		holdUp = 500;
		t.is(watch.lastWake(), Number.NEGATIVE_INFINITY);
		t.is(watch.lastWake(), Number.NEGATIVE_INFINITY);
	}
});
