import test from 'ava';
import * as fc from 'fast-check';
import {lengthClass} from './length-class.js';

test('an unknown length has a class of its own', t => {
	t.is(lengthClass(0), 0);
	t.is(lengthClass(1), 1);
	t.is(lengthClass(80), 4);
});

test('longer lengths have no lower class, and lengths of one class differ by at most a factor of four', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 4_194_304}), fc.integer({min: 1, max: 4_194_304}), (one, other) => {
		const [shorter, longer] = [Math.min(one, other), Math.max(one, other)];
		t.true(lengthClass(shorter) <= lengthClass(longer));
		t.true(longer <= 4 * shorter || lengthClass(shorter) < lengthClass(longer));
	}));
});
