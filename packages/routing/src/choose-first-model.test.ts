import test from 'ava';
import {chooseFirstModel, type ChooseFirstModelOptions} from './choose-first-model.js';

const options: ChooseFirstModelOptions = {
	escalationShare: 0.7, smallest: {milliseconds: 40, price: undefined}, largest: {milliseconds: 120, price: undefined}, isLargestInUse: false, random: () => 0.5,
};

test('a request begins with the largest model once the cascade takes as much processing time', t => {
	t.is(chooseFirstModel({...options, escalationShare: 0.66}), 'few-escalate');
	t.is(chooseFirstModel({...options, escalationShare: 0.67}), 'most-escalate');
});

test('a request begins with the smallest model while the cascade costs less', t => {
	const prices = {smallest: {milliseconds: 40, price: 1}, largest: {milliseconds: 120, price: 10}};
	t.is(chooseFirstModel({...options, ...prices}), 'few-escalate');
	t.is(chooseFirstModel({...options, ...prices, escalationShare: 0.91}), 'most-escalate');
});

test('a share that varies around the threshold does not alternate the models', t => {
	t.is(chooseFirstModel({...options, escalationShare: 0.63, isLargestInUse: true}), 'most-escalate');
	t.is(chooseFirstModel({...options, escalationShare: 0.61, isLargestInUse: true}), 'few-escalate');
});

test('some requests still begin with the smallest model, so that the share stays known', t => {
	t.is(chooseFirstModel({...options, random: () => 0.01}), 'sample');
});

test('nothing is drawn and the smallest model goes first while the share is unknown or small', t => {
	const random = () => {
		throw new Error('No random number is needed');
	};

	for (const escalationShare of [0, 0.2, 0.5]) {
		t.is(chooseFirstModel({...options, escalationShare, random}), 'few-escalate');
	}

	t.is(chooseFirstModel({
		...options, smallest: options.largest, escalationShare: 0.3, random,
	}), 'few-escalate');
	const noLatency = {smallest: {milliseconds: 0, price: undefined}, largest: {milliseconds: 0, price: undefined}};
	t.is(chooseFirstModel({...options, ...noLatency, random}), 'few-escalate');
});
