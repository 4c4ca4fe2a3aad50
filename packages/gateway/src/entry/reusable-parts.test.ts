import test from 'ava';
import {type PromptPart} from './gateway-request.js';
import {reusableParts} from './reusable-parts.js';

function partsOf(...ids: readonly string[]): readonly PromptPart[] {
	return ids.map(id => ({id, tokens: 100}));
}

test('the parts that other prompts can have are all but the last one', t => {
	t.deepEqual(reusableParts(partsOf('a', 'b', 'c')), ['a', 'b']);
	t.deepEqual(reusableParts(partsOf('a')), []);
	t.deepEqual(reusableParts([]), []);
	t.deepEqual(reusableParts(partsOf('a', 'b', 'a', 'c')), ['a', 'b']);
});

test('parts without an id or with a very long one, and those beyond the first eight, are left out', t => {
	t.deepEqual(reusableParts(partsOf('', 'a'.repeat(65), 'a'.repeat(64), 'b')), ['a'.repeat(64)]);
	t.is(reusableParts(partsOf(...Array.from({length: 20}, (_, index) => `part ${index}`))).length, 8);
});
