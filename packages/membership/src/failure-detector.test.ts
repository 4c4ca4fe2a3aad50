import test from 'ava';
import {type InstanceId, toId} from '@valehitch/core';
import {FailureDetector, type DetectedFailure} from './failure-detector.js';

const instance = toId<InstanceId>('entry-a');

function createDetector(): FailureDetector {
	return new FailureDetector({suspectMilliseconds: 100, lostMilliseconds: 50, otherZoneFactor: 6});
}

function check(detector: FailureDetector, now: number, watched: {readonly sequence?: number; readonly sameZone?: boolean} = {}): ReadonlyArray<DetectedFailure['state']> {
	return detector.check([{
		instance, sequence: 1, sameZone: true, ...watched,
	}], now).map(({state}) => state);
}

test('a silent instance is suspected first and then lost', t => {
	const detector = createDetector();
	t.deepEqual(check(detector, 0), []);
	t.deepEqual(check(detector, 99), []);
	t.deepEqual(check(detector, 100), ['suspect']);
	t.deepEqual(check(detector, 149), []);
	t.deepEqual(check(detector, 150), ['lost']);
});

test('a message, or a higher sequence number received indirectly, refutes the suspicion', t => {
	const detector = createDetector();
	check(detector, 0);
	t.deepEqual(check(detector, 100), ['suspect']);
	detector.recordMessage(instance, 120);
	t.deepEqual(check(detector, 160), []);
	t.deepEqual(check(detector, 220), ['suspect']);
	t.deepEqual(check(detector, 270, {sequence: 2}), []);
	t.deepEqual(check(detector, 369, {sequence: 2}), []);
});

test('an instance of another zone may be silent for longer, so that a network partition is not immediately treated as a loss', t => {
	const detector = createDetector();
	check(detector, 0, {sameZone: false});
	t.deepEqual(check(detector, 599, {sameZone: false}), []);
	t.deepEqual(check(detector, 600, {sameZone: false}), ['suspect']);
	t.deepEqual(check(detector, 899, {sameZone: false}), []);
	t.deepEqual(check(detector, 900, {sameZone: false}), ['lost']);
});
