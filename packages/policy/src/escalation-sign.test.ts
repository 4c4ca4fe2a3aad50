import test from 'ava';
import {type EscalationSign} from '@valehitch/core';
import {type CheckedAnswer, findEscalationSign} from './mod.js';

const all: readonly EscalationSign[] = ['truncated', 'refused', 'empty', 'low-confidence'];
const good: CheckedAnswer = {finishReason: 'stop', text: 'Coil 7', refused: false};

function signOf(changes: Partial<CheckedAnswer>, signs = all): EscalationSign | undefined {
	return findEscalationSign({...good, ...changes}, {
		signs, minimumConfidence: 0.5, expectedShare: 0.3, acceptedQuality: 0.9,
	});
}

test('an answer escalates only on the signs that its rule lists', t => {
	t.is(signOf({}), undefined);
	t.is(signOf({finishReason: 'length'}), 'truncated');
	t.is(signOf({finishReason: 'length'}, ['empty']), undefined);
	t.is(signOf({refused: true}), 'refused');
	t.is(signOf({finishReason: 'content_filter'}), 'refused');
	t.is(signOf({text: ' \n'}), 'empty');
	t.is(signOf({confidence: 0.49}), 'low-confidence');
	t.is(signOf({confidence: 0.5}), undefined);
});
