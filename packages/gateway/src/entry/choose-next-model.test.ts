import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {chooseNextModel} from './choose-next-model.js';

const [small, middle, large] = ['small', 'middle', 'large'] as ModelId[];
const calm = {
	sizes: [small!, middle!, large!], current: small!, leastConfidence: 50, timeLeft: 2000, expectedTime: 700,
};

test('the largest model is asked where the answer is unsure and there is time', t => {
	t.is(chooseNextModel({...calm, confidence: 49}), large);
	t.is(chooseNextModel({...calm, confidence: 50}), undefined);
	t.is(chooseNextModel({...calm, confidence: undefined}), undefined);
	t.is(chooseNextModel({...calm, current: large!, confidence: 1}), undefined);
});

test('the less time is left for the largest model, the less sure the answer must be', t => {
	t.is(chooseNextModel({...calm, expectedTime: 1500, confidence: 26}), undefined);
	t.is(chooseNextModel({...calm, expectedTime: 1500, confidence: 24}), large);
	t.is(chooseNextModel({...calm, expectedTime: 2000, confidence: 0}), undefined);
	t.is(chooseNextModel({...calm, timeLeft: -10, confidence: 0}), undefined);
});
