import test from 'ava';
import {SuspensionDetector} from './suspension-detector.js';

/** Creates clocks that the test advances, and a detector that uses them. */
function createManualClocks() {
	const time = {wallClock: 1_700_000_000_000, monotonic: 500};
	const detector = new SuspensionDetector({now: () => new Date(time.wallClock), monotonic: () => time.monotonic});
	const advance = (milliseconds: number): void => {
		time.wallClock += milliseconds;
		time.monotonic += milliseconds;
	};

	return {time, detector, advance};
}

test('no suspension is reported while the machine runs, even if the wall clock drifts', t => {
	const {time, detector, advance} = createManualClocks();
	for (let call = 0; call < 100; call++) {
		advance(50);
		time.wallClock += 5;
		t.is(detector.lastWake(), Number.NEGATIVE_INFINITY);
	}
});

test('the first call after a suspension reports it, and later calls report the same time', t => {
	const {time, detector, advance} = createManualClocks();
	time.wallClock += 4000;
	t.is(detector.lastWake(), 500);
	advance(70);
	t.is(detector.lastWake(), 500);
	time.wallClock += 30;
	t.is(detector.lastWake(), 570);
});

test('setting the wall clock back is not a suspension, and the next suspension is still reported', t => {
	const {time, detector} = createManualClocks();
	time.wallClock -= 3_600_000;
	t.is(detector.lastWake(), Number.NEGATIVE_INFINITY);
	time.wallClock += 4000;
	t.is(detector.lastWake(), 500);
});

test('a process that is delayed between reading its two clocks was not suspended', t => {
	let monotonic = 0;
	let delay = 0;
	const detector = new SuspensionDetector({
		monotonic: () => monotonic,
		now() {
			const time = new Date(1_700_000_000_000 + monotonic);
			monotonic += delay;
			delay = 0;
			return time;
		},
	});
	for (let look = 0; look < 10; look++) {
		delay = 500;
		t.is(detector.lastWake(), Number.NEGATIVE_INFINITY);
		t.is(detector.lastWake(), Number.NEGATIVE_INFINITY);
	}
});
