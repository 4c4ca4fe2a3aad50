import test from 'ava';
import fc from 'fast-check';
import {diffText} from './diff-text.js';
import {joinTextParts} from './join-text-parts.js';

const text = fc.array(fc.constantFrom('a', 'b', '{', '}', ',', '😀'), {maxLength: 40}).map(characters => characters.join(''));

test('the parts of a text give the text', t => {
	t.notThrows(() => {
		fc.assert(fc.property(text, text, (base, target) => joinTextParts(base, diffText(base, target)) === target));
	});
});

test('blocks that were added, removed and moved cost their own text only', t => {
	t.deepEqual(diffText('{1}{2}{3}{4}', '{1}{5}{3}{4}{2}'), [[0, 3], '{5}', [6, 6], [3, 3]]);
});

test('a part outside the base is no text', t => {
	for (const part of [[0, 4], [-1, 1], [2, -1]] as const) {
		t.is(joinTextParts('abc', [part]), undefined);
	}
});
