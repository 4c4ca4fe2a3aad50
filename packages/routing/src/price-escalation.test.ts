import test from 'ava';
import {priceEscalation, type PriceEscalationOptions} from './price-escalation.js';

const options: PriceEscalationOptions = {
	wait: 900, target: 1500, relativeDemand: 1, priority: 0,
};

test('a second read is free while the pool has little to process', t => {
	for (const wait of [0, 100, 375]) {
		t.is(priceEscalation({
			...options, wait, relativeDemand: 100, priority: 9,
		}), 0);
	}
});

test('the price rises with the wait, the length of the prompt and the number of the priority', t => {
	const price = priceEscalation(options);
	t.true(price > 0);
	t.true(priceEscalation({...options, wait: 1000}) > price);
	t.is(priceEscalation({...options, relativeDemand: 3}), 3 * price);
	t.is(priceEscalation({...options, priority: 2}), 3 * price);
	t.is(priceEscalation({...options, wait: 1500}), 1);
});
