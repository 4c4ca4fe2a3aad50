import {type ModelId} from '@valehitch/core';
import test from 'ava';
import {chooseNextModel, type ChooseNextModelOptions} from './choose-next-model.js';

const [small, middle, large] = ['small', 'middle', 'large'] as ModelId[];
const withAmpleTime: Omit<ChooseNextModelOptions, 'confidence'> = {
	sizes: [small!, middle!, large!], current: small!, minimumConfidence: 50, timeLeft: 2000, expectedLatency: 700,
};

test('a request escalates to the largest model if the confidence is low and there is time', t => {
	t.is(chooseNextModel({...withAmpleTime, confidence: 49}), large);
	t.is(chooseNextModel({...withAmpleTime, confidence: 50}), undefined);
	t.is(chooseNextModel({...withAmpleTime, confidence: undefined}), undefined);
	t.is(chooseNextModel({...withAmpleTime, current: large!, confidence: 1}), undefined);
});

test('the confidence threshold falls with the time left for the largest model', t => {
	t.is(chooseNextModel({...withAmpleTime, expectedLatency: 1500, confidence: 26}), undefined);
	t.is(chooseNextModel({...withAmpleTime, expectedLatency: 1500, confidence: 24}), large);
	t.is(chooseNextModel({...withAmpleTime, expectedLatency: 2000, confidence: 0}), undefined);
	t.is(chooseNextModel({...withAmpleTime, timeLeft: -10, confidence: 0}), undefined);
});

test('the confidence threshold falls with the price of the second read', t => {
	t.is(chooseNextModel({...withAmpleTime, price: 0.5, confidence: 49}), large);
	t.is(chooseNextModel({...withAmpleTime, price: 0.8, confidence: 21}), undefined);
	t.is(chooseNextModel({...withAmpleTime, price: 0.8, confidence: 19}), large);
	t.is(chooseNextModel({...withAmpleTime, price: 40, confidence: 0}), undefined);
});
