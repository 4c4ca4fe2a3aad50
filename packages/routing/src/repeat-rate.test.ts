import test from 'ava';
import {RepeatRate} from './repeat-rate.js';

test('the rate approaches 0 without repeated subjects, and 1 with a single subject', t => {
	const repeats = new RepeatRate();
	for (let index = 0; index < 200; index++) {
		repeats.record(`subject-${index}`, index);
	}

	t.true(repeats.value < 0.02);
	for (let index = 0; index < 1000; index++) {
		repeats.record('subject-1', 200 + index);
	}

	t.true(repeats.value > 0.95);
});

test('a subject that occurred long ago does not count as a repeat', t => {
	const repeats = new RepeatRate({memoryMilliseconds: 1000});
	repeats.record('subject-1', 0);
	const before = repeats.value;
	repeats.record('subject-1', 1001);
	t.true(repeats.value < before);
	const between = repeats.value;
	repeats.record('subject-1', 2001);
	t.true(repeats.value > between);
});

test('only the latest subjects are remembered, up to the maximum', t => {
	const repeats = new RepeatRate({maximumSubjects: 2});
	for (const subject of ['a', 'b', 'c']) {
		repeats.record(subject, 0);
	}

	const before = repeats.value;
	repeats.record('a', 0);
	t.true(repeats.value < before);
	const between = repeats.value;
	repeats.record('c', 0);
	t.true(repeats.value > between);
});
