import test from 'ava';
import {RepeatShare} from './repeat-share.js';

test('the rate approaches 0 without repeated subjects, and 1 with a single subject', t => {
	const repeats = new RepeatShare();
	for (let index = 0; index < 200; index++) {
		repeats.note(`subject-${index}`, index);
	}

	t.true(repeats.share < 0.02);
	for (let index = 0; index < 1000; index++) {
		repeats.note('subject-1', 200 + index);
	}

	t.true(repeats.share > 0.95);
});

test('a subject that occurred long ago does not count as a repeat', t => {
	const repeats = new RepeatShare({memoryMilliseconds: 1000});
	repeats.note('subject-1', 0);
	const before = repeats.share;
	repeats.note('subject-1', 1001);
	t.true(repeats.share < before);
	const between = repeats.share;
	repeats.note('subject-1', 2001);
	t.true(repeats.share > between);
});

test('only the latest subjects are remembered, up to the maximum', t => {
	const repeats = new RepeatShare({maximumSubjects: 2});
	for (const subject of ['a', 'b', 'c']) {
		repeats.note(subject, 0);
	}

	const before = repeats.share;
	repeats.note('a', 0);
	t.true(repeats.share < before);
	const between = repeats.share;
	repeats.note('c', 0);
	t.true(repeats.share > between);
});
