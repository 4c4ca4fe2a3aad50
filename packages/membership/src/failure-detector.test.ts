import test from 'ava';
import {type InstanceId, toId} from '@valehitch/core';
import {FailureDetector, type Verdict} from './failure-detector.js';

const instance = toId<InstanceId>('entry-a');

function makeDetector(): FailureDetector {
	return new FailureDetector({suspectMilliseconds: 100, lostMilliseconds: 50, otherZoneFactor: 6});
}

function judge(detector: FailureDetector, now: number, watched: {readonly sequence?: number; readonly sameZone?: boolean} = {}): ReadonlyArray<Verdict['state']> {
	return detector.judge([{
		instance, sequence: 1, sameZone: true, ...watched,
	}], now).map(({state}) => state);
}

test('a silent instance is suspected first and then lost', t => {
	const detector = makeDetector();
	t.deepEqual(judge(detector, 0), []);
	t.deepEqual(judge(detector, 99), []);
	t.deepEqual(judge(detector, 100), ['suspect']);
	t.deepEqual(judge(detector, 149), []);
	t.deepEqual(judge(detector, 150), ['lost']);
});

test('a word, or a higher sequence heard elsewhere, answers the suspicion', t => {
	const detector = makeDetector();
	judge(detector, 0);
	t.deepEqual(judge(detector, 100), ['suspect']);
	detector.heard(instance, 120);
	t.deepEqual(judge(detector, 160), []);
	t.deepEqual(judge(detector, 220), ['suspect']);
	t.deepEqual(judge(detector, 270, {sequence: 2}), []);
	t.deepEqual(judge(detector, 369, {sequence: 2}), []);
});

test('an instance of another zone may be silent for longer, so that a cut is not taken for a loss at once', t => {
	const detector = makeDetector();
	judge(detector, 0, {sameZone: false});
	t.deepEqual(judge(detector, 599, {sameZone: false}), []);
	t.deepEqual(judge(detector, 600, {sameZone: false}), ['suspect']);
	t.deepEqual(judge(detector, 899, {sameZone: false}), []);
	t.deepEqual(judge(detector, 900, {sameZone: false}), ['lost']);
});
